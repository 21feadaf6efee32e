package switchgap.protocol.thrift;

import java.util.concurrent.atomic.AtomicInteger;
import switchgap.net.TcpServer;

/**
 * Counts open connections and pauses the listener while their number is at the limit. Further
 * clients wait in the kernel's accept backlog, as closing a connection after accepting it could
 * lose a request that was already sent on it. Thread-safe, as connections open and close on several
 * threads.
 */
final class AcceptThrottle {
  private final int maxOpenConnections;
  private final AtomicInteger openConnections = new AtomicInteger();
  private volatile TcpServer listener;

  /** Guarded by this. */
  private boolean isListenerPaused;

  AcceptThrottle(int maxOpenConnections) {
    this.maxOpenConnections = maxOpenConnections;
  }

  /** Sets the listener to throttle, starting with the next opened or closed connection. */
  void listenerOpened(TcpServer newListener) {
    listener = newListener;
  }

  void connectionOpened() {
    openConnections.incrementAndGet();
    pauseOrResumeListener();
  }

  void connectionClosed() {
    openConnections.decrementAndGet();
    pauseOrResumeListener();
  }

  int openConnections() {
    return openConnections.get();
  }

  private synchronized void pauseOrResumeListener() {
    boolean hasCapacity = openConnections.get() < maxOpenConnections;
    if (hasCapacity != isListenerPaused || listener == null) {
      return;
    }
    isListenerPaused = !hasCapacity;
    if (hasCapacity) {
      listener.resume();
    } else {
      listener.pause();
    }
  }
}
