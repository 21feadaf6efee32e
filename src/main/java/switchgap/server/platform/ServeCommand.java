package switchgap.server.platform;

import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The command {@code serve}: a router on the platform until SIGTERM. Exit codes: 0 stopped, 1 failed, 2 unusable input, 70 a fault of its own. */
public final class ServeCommand {
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly"); // held, or its level is lost

    private static final int FAILED = 70;

    private ServeCommand() {}

    /** A process of which a part is dead serves nobody: it ends with a line, and starts again from nothing. */
    static void failed(RateLimitedLog log, String what, Throwable e) {
        StackTraceElement[] at = e.getStackTrace();
        log.line(what + ", the router stops: " + e + (at.length > 0 ? " at " + at[0] : ""));
        Runtime.getRuntime().halt(FAILED);
    }

    public static int run() {
        RateLimitedLog log = new RateLimitedLog();
        GRIZZLY.setLevel(Level.OFF); // it tells of each connection that a peer broke
        Thread.setDefaultUncaughtExceptionHandler(
            (t, e) -> failed(log, "thread " + t.getName() + " ended", e));
        try {
            SignalHandlers signals = new SignalHandlers();
            PlatformRouter p = new PlatformRouter(
                PlatformConfig.read(System.getenv(), System.currentTimeMillis()), log);
            signals.hup(() -> {
                try {
                    var feed = PlatformConfig.feed(System.getenv());
                    log.line("SIGHUP: the control feed is followed at " + feed.getHostString() + ":"
                        + feed.getPort());
                    p.follow(feed);
                } catch (InvalidPlatformConfigException x) {
                    log.line("SIGHUP: the old feed is kept: " + x.getMessage());
                }
            });
            signals.awaitTerm();
            p.stop();
            return 0;
        } catch (InvalidPlatformConfigException x) {
            System.err.println("switchgap: " + x.getMessage());
            return 2;
        } catch (IOException | ReflectiveOperationException x) {
            System.err.println("switchgap: " + x.getMessage());
            return 1;
        } catch (InterruptedException x) {
            return 1;
        }
    }
}
