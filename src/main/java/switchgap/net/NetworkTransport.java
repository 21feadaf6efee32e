package switchgap.net;

import java.io.IOException;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.utils.DelayedExecutor;

/** One Grizzly transport with its selector threads and its timers, shared by the doors and links of a program. */
public final class NetworkTransport implements AutoCloseable {
    final TCPNIOTransport transport;
    private static final int READ_BYTES = 16 << 10; // at a time; by itself it is as large as the socket's own buffer
    private DelayedExecutor timers;

    public NetworkTransport(int selectors, String name) throws IOException {
        var pool = org.glassfish.grizzly.threadpool.ThreadPoolConfig.defaultConfig().copy().setPoolName(
            name).setCorePoolSize(selectors).setMaxPoolSize(selectors).setDaemon(true);
        transport = TCPNIOTransportBuilder.newInstance().setIOStrategy(
            SameThreadIOStrategy.getInstance()).setSelectorThreadPoolConfig(pool).setSelectorRunnersCount(
                selectors).setTcpNoDelay(true).setKeepAlive(false).setReuseAddress(
                    true).setServerConnectionBackLog(4096).setReadBufferSize(READ_BYTES).build();
        transport.start();
    }

    /** The timers of the HTTP doors; their threads are there only where a door needs them. */
    synchronized DelayedExecutor timers() {
        if (timers == null) {
            timers = org.glassfish.grizzly.utils.IdleTimeoutFilter.createDefaultIdleDelayedExecutor();
            timers.start();
        }
        return timers;
    }

    @Override public synchronized void close() {
        if (timers != null) { timers.destroy(); }
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
