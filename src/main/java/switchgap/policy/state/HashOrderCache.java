package switchgap.policy.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NoSuchElementException;

/**
 * The ready workers in the hash orders of functions. Computes only the part of an order that is
 * looked at, and caches it until the endpoint list changes. The cache is bounded by the number of
 * workers in all cached orders; the least recently used orders are dropped.
 */
final class HashOrderCache {
  /** Number of workers to compute first; sufficient for a function with few target replicas. */
  private static final int FIRST_WORKERS = 12;

  /** Factor by which the computed part of an order grows when more of it is looked at. */
  private static final int GROWTH_FACTOR = 4;

  /**
   * The computed part of an order.
   *
   * @param workers the first workers of the order
   * @param isComplete whether these are all
   */
  private record Order(Worker[] workers, boolean isComplete) {}

  private final Iterable<Worker> workers;
  private final int maxCachedWorkers;

  /** Computed orders, the least recently used one first. */
  private final Map<Function, Order> orders = new LinkedHashMap<>(16, 0.75f, true);

  /** The ready workers; null until an order is computed for the present endpoint list. */
  private RendezvousHash hash;

  private int cachedWorkers;

  /**
   * Creates an empty cache.
   *
   * @param workers all workers, of which those that are ready are ordered
   * @param maxCachedWorkers bound of the workers in all cached orders
   */
  HashOrderCache(Iterable<Worker> workers, int maxCachedWorkers) {
    this.workers = workers;
    this.maxCachedWorkers = maxCachedWorkers;
  }

  /** The ready workers in a function's hash order. */
  Iterable<Worker> order(Function function) {
    return () -> new OrderIterator(function);
  }

  /** Drops all orders, because the ready workers have changed. */
  void clear() {
    hash = null;
    orders.clear();
    cachedWorkers = 0;
  }

  /** Drops the order of a function. */
  void remove(Function function) {
    Order removed = orders.remove(function);
    cachedWorkers -= removed == null ? 0 : removed.workers().length;
  }

  /** Number of workers in all cached orders. */
  int cachedWorkers() {
    return cachedWorkers;
  }

  private Order cachedOrder(Function function) {
    Order cached = orders.get(function);
    return cached == null ? compute(function, FIRST_WORKERS) : cached;
  }

  private Order compute(Function function, int count) {
    remove(function);
    hash = hash == null ? new RendezvousHash(workers) : hash;
    Worker[] first = hash.first(count, function);
    Order order = new Order(first, first.length == hash.size());
    orders.put(function, order);
    cachedWorkers += first.length;
    dropLeastRecentlyUsed();
    return order;
  }

  private void dropLeastRecentlyUsed() {
    Iterator<Order> leastRecentlyUsed = orders.values().iterator();
    while (cachedWorkers > maxCachedWorkers && leastRecentlyUsed.hasNext()) {
      cachedWorkers -= leastRecentlyUsed.next().workers().length;
      leastRecentlyUsed.remove();
    }
  }

  /** Iterates over one order and computes more of it as required. */
  private final class OrderIterator implements Iterator<Worker> {
    private final Function function;
    private Order order;
    private int next;

    OrderIterator(Function function) {
      this.function = function;
      this.order = cachedOrder(function);
    }

    @Override
    public boolean hasNext() {
      if (next == order.workers().length && !order.isComplete()) {
        order = compute(function, next * GROWTH_FACTOR);
      }
      return next < order.workers().length;
    }

    @Override
    public Worker next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      return order.workers()[next++];
    }
  }
}
