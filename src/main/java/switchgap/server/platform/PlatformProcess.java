package switchgap.server.platform;

import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;
import switchgap.config.InvalidConfigException;
import switchgap.net.WallClock;

/**
 * Implements the command {@code serve}, which runs a router on the platform until SIGTERM. Exit
 * codes: 0 after a shutdown, 1 after a failure, 2 for invalid input, 70 after an internal error.
 */
public final class PlatformProcess {
  private static final int EXIT_STOPPED = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_INVALID_INPUT = 2;
  private static final int EXIT_INTERNAL_ERROR = 70;

  /** Held in a static field, as an unreferenced logger is garbage-collected and loses its level. */
  private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

  private PlatformProcess() {}

  /**
   * Halts the process after one of its threads has failed. The process could not serve any more;
   * the platform starts a new one.
   *
   * @param failure description of what failed, for the log
   */
  static void halt(RateLimitedLog log, String failure, Throwable error) {
    StackTraceElement[] stack = error.getStackTrace();
    String place = stack.length > 0 ? " at " + stack[0] : "";
    log.line(failure + ", stopping the router: " + error + place);
    Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
  }

  /** Serves until SIGTERM; returns the exit code. */
  public static int run() {
    RateLimitedLog log = new RateLimitedLog();
    GRIZZLY.setLevel(Level.OFF); // Grizzly logs each connection that a peer resets
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, error) -> halt(log, "thread " + thread.getName() + " terminated", error));
    try {
      serve(log);
      return EXIT_STOPPED;
    } catch (InvalidConfigException e) {
      System.err.println("switchgap: " + e.getMessage());
      return EXIT_INVALID_INPUT;
    } catch (IOException | ReflectiveOperationException e) {
      System.err.println("switchgap: " + e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      return EXIT_FAILED;
    }
  }

  private static void serve(RateLimitedLog log)
      throws IOException, ReflectiveOperationException, InterruptedException {
    SignalHandlers signals = new SignalHandlers();
    PlatformConfig config = PlatformConfig.read(System.getenv(), WallClock.unixMillis());
    PlatformRouter router = new PlatformRouter(config, log);
    EndpointStreamReloader reloader =
        new EndpointStreamReloader(System.getenv(), router::follow, log);
    signals.onHangup(reloader::reload);
    signals.awaitTermination();
    router.stop();
  }
}
