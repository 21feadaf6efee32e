package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.testbed.process.ChildProcess;

/**
 * Runs the planner as a child process and restarts it with backoff when it exits. A failure of the
 * planner does not affect the router.
 */
final class PlannerSupervisor implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PlannerSupervisor.class);
  private static final long MIN_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 5000;

  /** The backoff is reset if the planner ran for longer than this time. */
  private static final long HEALTHY_UPTIME_MILLIS = 10_000;

  private final Path configFile;
  private final Thread thread = new Thread(this::superviseUntilClosed, "planner-supervisor");
  private volatile Process plannerProcess;
  private volatile boolean closed;

  PlannerSupervisor(Path configFile) {
    this.configFile = configFile;
    thread.setDaemon(true);
    thread.start();
  }

  private void superviseUntilClosed() {
    long backoffMillis = MIN_BACKOFF_MILLIS;
    Path log = configFile.resolveSibling(configFile.getFileName() + ".planner.log");
    while (!closed) {
      long startedNanos = System.nanoTime();
      try {
        plannerProcess = ChildProcess.startPlanner(log, configFile);
        int exitCode = plannerProcess.waitFor();
        if (closed) {
          return;
        }
        long uptimeMillis = Duration.ofNanos(System.nanoTime() - startedNanos).toMillis();
        backoffMillis =
            uptimeMillis > HEALTHY_UPTIME_MILLIS
                ? MIN_BACKOFF_MILLIS
                : Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        LOG.warn(
            "planner process exited with code {}; restarting it in {} ms", exitCode, backoffMillis);
        Thread.sleep(backoffMillis);
      } catch (IOException e) {
        LOG.error(
            "can't start the planner process, and will not retry; load commands are sent without a"
                + " plan: {}",
            e.getMessage());
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Terminates the planner process; it is not restarted. */
  @Override
  public void close() {
    closed = true;
    Process running = plannerProcess;
    if (running != null) {
      running.destroy();
    }
  }
}
