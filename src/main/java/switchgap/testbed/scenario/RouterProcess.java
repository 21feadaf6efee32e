package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import switchgap.testbed.process.ChildProcess;
import switchgap.testbed.process.ProcessSignal;

/** A router in a process of its own, started from this program's own class path. */
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

  /** {@code baseline}: name of the routing policy in place of the program's own, null for none. */
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
      planner = ChildProcess.planner(log.resolveSibling(log.getFileName() + ".planner"), config);
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
  public boolean pausePlanner(boolean paused) {
    return planner != null && signal(planner, paused);
  }

  @Override
  public boolean runs() {
    return process != null && process.isAlive();
  }

  @Override
  public void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @Override
  public boolean pause(boolean paused) {
    return process != null && signal(process, paused);
  }

  private static boolean signal(Process target, boolean stop) {
    try {
      return (stop ? ProcessSignal.STOP : ProcessSignal.CONT).send(target);
    } catch (IOException e) {
      return false; // no signals on this system: the caller records that the fault was not injected
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
