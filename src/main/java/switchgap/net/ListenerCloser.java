package switchgap.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Closes a listening socket without losing clients. The kernel resets all clients that are
 * connected but not accepted when a listening socket is closed, and with them the requests that
 * they have sent. So the socket's selector thread accepts until no client waits, and closes the
 * socket in the same step.
 */
final class ListenerCloser {
  /**
   * Maximum number of accepts in one step, some of which may be interrupted. More than any backlog
   * holds.
   */
  private static final int MAX_ACCEPTS = 2 * NetworkTransport.LISTEN_BACKLOG;

  private final TCPNIOServerConnection listener;

  /** The step that was started last; null before the first. */
  private CompletableFuture<Boolean> step;

  ListenerCloser(TCPNIOServerConnection listener) {
    this.listener = listener;
  }

  /**
   * Accepts the waiting clients and closes the socket, on its selector thread. Must not be called
   * on that thread.
   *
   * @param timeout maximum time to wait for the selector thread; a step that has not run by then
   *     still runs, and the next call waits for it
   * @return whether the socket is closed; false if clients may still be waiting, because accepts
   *     fail or are paused or because the selector thread is blocked
   */
  synchronized boolean close(Duration timeout) {
    if (step == null) {
      step = startStep();
    }
    try {
      boolean isClosed = step.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
      step = isClosed ? step : null;
      return isClosed;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } catch (TimeoutException e) {
      return false;
    } catch (ExecutionException e) {
      step = null;
      return false;
    }
  }

  private CompletableFuture<Boolean> startStep() {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    SelectorRunner eventLoop = listener.getSelectorRunner();
    ((NIOTransport) listener.getTransport())
        .getSelectorHandler()
        .execute(
            eventLoop,
            () -> {
              runStep(eventLoop.getSelector(), result);
              return true;
            },
            null);
    return result;
  }

  private void runStep(Selector eventLoopSelector, CompletableFuture<Boolean> result) {
    try {
      boolean isClosed = !listener.isOpen() || closeIfNoClientWaits(eventLoopSelector);
      result.complete(isClosed);
    } catch (IOException | RuntimeException e) {
      result.completeExceptionally(e);
    }
  }

  private boolean closeIfNoClientWaits(Selector eventLoopSelector) throws IOException {
    boolean isEmpty = acceptWaitingClients();
    if (isEmpty) {
      listener.terminateSilently();
      // The JDK closes a registered socket only when its selector is next used.
      eventLoopSelector.selectNow();
    }
    return isEmpty;
  }

  /** Returns whether no client waits any more; false if some may still be waiting. */
  private boolean acceptWaitingClients() throws IOException {
    AcceptStall stall = AcceptStall.of(listener);
    try (Selector selector = Selector.open()) {
      ServerSocketChannel channel = (ServerSocketChannel) listener.getChannel();
      channel.register(selector, SelectionKey.OP_ACCEPT);
      for (int i = 0; i < MAX_ACCEPTS && !stall.isPaused(); i++) {
        if (selector.selectNow() == 0) {
          return true;
        }
        selector.selectedKeys().clear();
        SelectorThreadStrategy.acceptOne(listener, stall);
      }
    }
    return false;
  }
}
