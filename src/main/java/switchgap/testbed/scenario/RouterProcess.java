package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import switchgap.testbed.process.ChildProcess;
import switchgap.testbed.process.ProcessSignal;

/** A {@code router} process with this program's class path, and optionally its planner process. */
final class RouterProcess implements RouterHost {
  private static final List<String> JVM_OPTIONS =
      List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
  private static final int STOP_TIMEOUT_SECONDS = 8;
  private final Path config;
  private final Path log;
  private final String baseline;
  private final boolean ownPlanner;
  private Process process;
  private Process planner;

  /**
   * Creates a router that is not started yet.
   *
   * @param config configuration file of the router
   * @param log file for the output of the router; the planner writes to a file next to it
   * @param baseline name of a baseline routing policy, null for the router's own policy
   * @param ownPlanner whether the router has a planner, which runs in a further process
   */
  RouterProcess(Path config, Path log, String baseline, boolean ownPlanner) {
    this.config = config;
    this.log = log;
    this.baseline = baseline;
    this.ownPlanner = ownPlanner;
  }

  @Override
  public void start() throws IOException {
    List<String> arguments = new ArrayList<>(List.of("router", config.toString()));
    if (baseline != null) {
      arguments.addAll(List.of("--baseline", baseline));
    }
    process = ChildProcess.start(log, JVM_OPTIONS, arguments);
    startPlanner();
  }

  @Override
  public void startPlanner() throws IOException {
    if (ownPlanner && (planner == null || !planner.isAlive())) {
      planner =
          ChildProcess.startPlanner(log.resolveSibling(log.getFileName() + ".planner"), config);
    }
  }

  @Override
  public boolean killPlanner() {
    if (planner == null) {
      return false;
    }
    planner.destroyForcibly();
    return true;
  }

  @Override
  public boolean suspendPlanner() {
    return sendSignal(ProcessSignal.STOP, planner);
  }

  @Override
  public boolean resumePlanner() {
    return sendSignal(ProcessSignal.CONT, planner);
  }

  @Override
  public boolean isRunning() {
    return process != null && process.isAlive();
  }

  @Override
  public void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @Override
  public boolean suspend() {
    return sendSignal(ProcessSignal.STOP, process);
  }

  @Override
  public boolean resume() {
    return sendSignal(ProcessSignal.CONT, process);
  }

  private static boolean sendSignal(ProcessSignal signal, Process target) {
    if (target == null) {
      return false;
    }
    try {
      return signal.send(target);
    } catch (IOException e) {
      // The kill command can't be started, as on a system without signals. The log of the fault
      // script states whether a suspension succeeded.
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void stop() {
    killPlanner();
    if (process == null) {
      return;
    }
    process.destroy();
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      process.destroyForcibly();
    }
  }
}
