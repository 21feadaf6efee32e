package switchgap.protocol.resp;

import java.util.ArrayDeque;
import java.util.function.Predicate;

/**
 * The bounded queue of exchanges that wait for a connection to one worker, oldest first. Must be
 * used on the event loop only.
 */
final class WaitingExchanges {
  private final int maxWaiting;
  private final ArrayDeque<RespExchange> queue = new ArrayDeque<>();

  WaitingExchanges(int maxWaiting) {
    this.maxWaiting = maxWaiting;
  }

  boolean isFull() {
    return queue.size() >= maxWaiting;
  }

  void add(RespExchange exchange) {
    queue.add(exchange);
  }

  void remove(RespExchange exchange) {
    queue.remove(exchange);
  }

  /**
   * Passes each waiting exchange to the handler, oldest first, and removes those that the handler
   * has processed. The others keep waiting in the same order.
   *
   * @param handler sends or ends an exchange and returns true, or returns false if the exchange
   *     must keep waiting
   */
  void removeIfHandled(Predicate<RespExchange> handler) {
    for (int remaining = queue.size(); remaining > 0; remaining--) {
      RespExchange exchange = queue.poll();
      if (!handler.test(exchange)) {
        queue.add(exchange);
      }
    }
  }
}
