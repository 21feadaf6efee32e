package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** The emulator of a scenario alone, for routers that are started by hand. */
public final class EmulatorHost {
  private EmulatorHost() {}

  /**
   * Runs model servers, store and endpoint list until interrupted.
   *
   * @param file the scenario
   * @param directory receives the routers' configurations and the logs
   * @param injectFaults whether the faults of the script are injected
   * @param out receives the addresses
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
    out.println("list service at 127.0.0.1:" + testBed.endpointList().port());
    testBed
        .fleet()
        .servers()
        .forEach(server -> out.println(server.name() + " at 127.0.0.1:" + server.port()));
    for (int i = 0; i < testBed.scenario().routers(); i++) {
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
      out.println("the logs are not complete: " + e.getMessage());
    }
  }
}
