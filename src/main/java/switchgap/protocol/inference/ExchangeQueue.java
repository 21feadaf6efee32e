package switchgap.protocol.inference;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The exchanges of one pool that wait for a connection, first in first out, up to a bound. An
 * exchange may end while it waits; it is then passed over. Guarded by the lock of its pool.
 */
final class ExchangeQueue {
  private final ArrayDeque<InferenceExchange> waiting = new ArrayDeque<>();
  private final int capacity;

  ExchangeQueue(int capacity) {
    this.capacity = capacity;
  }

  /** Adds an exchange; returns false where the queue is full. */
  boolean offer(InferenceExchange exchange) {
    if (waiting.size() >= capacity) {
      removeEnded();
    }
    return waiting.size() < capacity && waiting.add(exchange);
  }

  /** Removes the first exchange that still waits and returns it, or null. */
  InferenceExchange poll() {
    InferenceExchange exchange = waiting.pollFirst();
    while (exchange != null && !exchange.isWaiting()) {
      exchange = waiting.pollFirst();
    }
    return exchange;
  }

  /** Removes all exchanges and returns them, among them those that have ended. */
  List<InferenceExchange> drain() {
    List<InferenceExchange> drained = List.copyOf(waiting);
    waiting.clear();
    return drained;
  }

  void removeEnded() {
    waiting.removeIf(exchange -> !exchange.isWaiting());
  }

  /** Exchanges in the queue, among them those that have ended since {@link #removeEnded}. */
  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
