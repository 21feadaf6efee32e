package switchgap.net;

import java.util.concurrent.ScheduledThreadPoolExecutor;

/** One thread for rare timers of the sockets: slow senders, slow connects. */
public final class TimerThread {
    public static final ScheduledThreadPoolExecutor EXECUTOR = new ScheduledThreadPoolExecutor(1, r -> {
        Thread t = new Thread(r, "later");
        t.setDaemon(true);
        return t;
    });

    static {
        EXECUTOR.setRemoveOnCancelPolicy(true);
    }

    private TimerThread() {}
}
