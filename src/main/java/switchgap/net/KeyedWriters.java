package switchgap.net;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A few threads that write what one loop decided: encoding and the write itself are most of what a call costs, and
 * the loop is one thread. What carries the same key is written in order.
 */
public final class KeyedWriters implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(KeyedWriters.class);

    private static final class WriterThread implements Runnable {
        private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
        private volatile boolean asleep;
        private volatile boolean stopped;
        private Thread thread;

        @Override public void run() {
            while (!stopped) {
                Runnable r = queue.poll();
                if (r != null) {
                    try {
                        r.run();
                    } catch (RuntimeException e) {
                        LOG.error("a write failed", e);
                    }
                } else {
                    asleep = true;
                    if (queue.isEmpty() && !stopped) { LockSupport.park(this); }
                    asleep = false;
                }
            }
        }
    }

    private final WriterThread[] lanes;

    public KeyedWriters(int threads, String name) {
        lanes = new WriterThread[threads];
        for (int i = 0; i < threads; i++) {
            lanes[i] = new WriterThread();
            lanes[i].thread = new Thread(lanes[i], name + "-" + i);
            lanes[i].thread.setDaemon(true);
            lanes[i].thread.start();
        }
    }

    public void execute(int key, Runnable r) {
        WriterThread l = lanes[Math.floorMod(key, lanes.length)];
        l.queue.add(r);
        if (l.asleep) { LockSupport.unpark(l.thread); }
    }

    @Override public void close() {
        for (WriterThread l : lanes) {
            l.stopped = true;
            LockSupport.unpark(l.thread);
        }
    }
}
