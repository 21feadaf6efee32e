package switchgap.protocol.resp;

import java.util.ArrayDeque;
import java.util.function.Predicate;

/**
 * The bounded queue of exchanges that wait for a connection to one worker, oldest first. Belongs to
 * the event loop.
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
   * Offers each exchange that waits now to the handler, oldest first. One that the handler does not
   * settle keeps waiting, in the same order.
   *
   * @param settles sends or ends an exchange, or returns false where it must keep waiting
   */
  void settleEach(Predicate<RespExchange> settles) {
    for (int remaining = queue.size(); remaining > 0; remaining--) {
      RespExchange exchange = queue.poll();
      if (!settles.test(exchange)) {
        queue.add(exchange);
      }
    }
  }
}
