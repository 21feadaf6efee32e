package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** Runs the emulated workers, store and endpoint list of a scenario; routers start separately. */
public final class EmulatorHost {
  private EmulatorHost() {}

  /**
   * Runs model servers, store and endpoint list service until the process is terminated.
   *
   * @param file YAML document of the scenario
   * @param directory directory for the routers' configurations and the logs
   * @param injectFaults whether the faults of the scenario's fault script are injected
   * @param out stream to which addresses and the commands that start the routers are printed
   * @throws IOException if the scenario cannot be read, or a port or log cannot be opened
   * @throws InterruptedException if the calling thread is interrupted
   */
  public static void run(Path file, Path directory, boolean injectFaults, PrintStream out)
      throws IOException, InterruptedException {
    Scenario scenario = Scenario.read(file);
    try (TestBed testBed = new TestBed(scenario, directory, null, false)) {
      printAddresses(testBed, directory, out);
      if (injectFaults) {
        testBed.scheduler().post(() -> new FaultScript(testBed).start());
      }
      Runtime.getRuntime()
          .addShutdownHook(new Thread(() -> shutDown(testBed, out), "emulator-shutdown"));
      Thread.currentThread().join();
    }
  }

  private static void printAddresses(TestBed testBed, Path directory, PrintStream out) {
    out.println("endpoint list service at 127.0.0.1:" + testBed.endpointList().port());
    testBed
        .fleet()
        .servers()
        .forEach(server -> out.println(server.name() + " at 127.0.0.1:" + server.port()));
    for (int i = 0; i < testBed.scenario().routerCount(); i++) {
      out.println(
          "./switchgap router "
              + directory.resolve("router-" + i + ".yaml")
              + "   # will listen at 127.0.0.1:"
              + testBed.routers().port(i));
    }
  }

  private static void shutDown(TestBed testBed, PrintStream out) {
    try {
      testBed.shutDownGracefully();
    } catch (IOException e) {
      out.println("cannot complete the event logs: " + e.getMessage());
    }
  }
}
