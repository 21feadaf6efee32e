package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.testbed.process.ChildProcess;

/**
 * Runs the planner as a child process, restarted with backoff when it ends; never touches the
 * router.
 */
final class PlannerSupervisor implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PlannerSupervisor.class);
  private static final long MIN_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 5000;

  /** After a longer uptime the backoff is reset. */
  private static final long HEALTHY_UPTIME_MILLIS = 10_000;

  private final Path configFile;
  private final Thread thread = new Thread(this::superviseUntilClosed, "planner-supervisor");
  private volatile Process process;
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
      long startedAt = System.nanoTime();
      try {
        process = ChildProcess.planner(log, configFile);
        int code = process.waitFor();
        if (closed) {
          return;
        }
        long uptimeMillis = Duration.ofNanos(System.nanoTime() - startedAt).toMillis();
        backoffMillis =
            uptimeMillis > HEALTHY_UPTIME_MILLIS
                ? MIN_BACKOFF_MILLIS
                : Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        LOG.warn("the planner exited with {}, restarting in {} ms", code, backoffMillis);
        Thread.sleep(backoffMillis);
      } catch (IOException e) {
        LOG.error("the planner can't be started: {}", e.getMessage());
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Stops the planner and does not restart it. */
  @Override
  public void close() {
    closed = true;
    Process running = process;
    if (running != null) {
      running.destroy();
    }
  }
}
