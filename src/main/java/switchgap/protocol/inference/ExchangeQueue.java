package switchgap.protocol.inference;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Bounded FIFO queue of the exchanges of one pool that wait for a connection. Exchanges that ended
 * while they waited are skipped. Guarded by the lock of the pool.
 */
final class ExchangeQueue {
  private final ArrayDeque<InferenceExchange> exchanges = new ArrayDeque<>();
  private final int capacity;

  ExchangeQueue(int capacity) {
    this.capacity = capacity;
  }

  /** Adds an exchange; returns false if the queue is full. */
  boolean offer(InferenceExchange exchange) {
    if (exchanges.size() >= capacity) {
      removeEnded();
    }
    return exchanges.size() < capacity && exchanges.add(exchange);
  }

  /** Removes and returns the first exchange that has not ended, or null if there is none. */
  InferenceExchange poll() {
    InferenceExchange exchange = exchanges.pollFirst();
    while (exchange != null && !exchange.isWaiting()) {
      exchange = exchanges.pollFirst();
    }
    return exchange;
  }

  /** Removes and returns all exchanges, including any that have ended. */
  List<InferenceExchange> drain() {
    List<InferenceExchange> drained = List.copyOf(exchanges);
    exchanges.clear();
    return drained;
  }

  void removeEnded() {
    exchanges.removeIf(exchange -> !exchange.isWaiting());
  }

  /** Length of the queue, including exchanges that ended since {@link #removeEnded} was called. */
  int size() {
    return exchanges.size();
  }

  boolean isEmpty() {
    return exchanges.isEmpty();
  }
}
