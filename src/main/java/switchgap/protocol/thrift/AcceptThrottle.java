package switchgap.protocol.thrift;

import java.util.concurrent.atomic.AtomicInteger;
import switchgap.net.TcpServer;

/**
 * Counts open connections and stalls the listener while their number is at its limit. Clients past
 * it wait in the system's backlog: a connection that was accepted and closed again might carry a
 * request already. Thread-safe, as connections open and close on several threads.
 */
final class AcceptThrottle {
  private final int maxOpenConnections;
  private final AtomicInteger openConnections = new AtomicInteger();
  private volatile TcpServer listener;

  /** Guarded by this. */
  private boolean isPaused;

  AcceptThrottle(int maxOpenConnections) {
    this.maxOpenConnections = maxOpenConnections;
  }

  /** Throttles this listener from the next change on. */
  void listenerOpened(TcpServer opened) {
    listener = opened;
  }

  void connectionOpened() {
    openConnections.incrementAndGet();
    update();
  }

  void connectionClosed() {
    openConnections.decrementAndGet();
    update();
  }

  int openConnections() {
    return openConnections.get();
  }

  private synchronized void update() {
    boolean hasCapacity = openConnections.get() < maxOpenConnections;
    if (hasCapacity != isPaused || listener == null) {
      return;
    }
    isPaused = !hasCapacity;
    if (hasCapacity) {
      listener.resume();
    } else {
      listener.pause();
    }
  }
}
