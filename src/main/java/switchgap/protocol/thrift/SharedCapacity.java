package switchgap.protocol.thrift;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A capacity that several holders share by a dynamic threshold (Choudhury and Hahne, "Dynamic queue
 * length thresholds for shared-memory packet switches"): a holder exceeds its share while it holds
 * more than is free. If {@code n} holders want more than there is, each ends up with {@code
 * 1/(n+1)} of the capacity, and as much remains free for others. Thread-safe.
 */
final class SharedCapacity {
  private final long capacity;
  private final long maxShare;
  private final AtomicLong used = new AtomicLong();

  /**
   * Creates a capacity of which nothing is used. Holders must keep to it by themselves.
   *
   * @param maxShare what one holder may use, however much is free
   */
  SharedCapacity(long capacity, long maxShare) {
    this.capacity = capacity;
    this.maxShare = maxShare;
  }

  /** Creates the share of a new holder. */
  Share newShare() {
    return new Share();
  }

  /** The sum of what all holders use. */
  long used() {
    return used.get();
  }

  /** What one holder uses. After {@link #release}, nothing is counted any more. */
  final class Share {
    private static final long RELEASED = -1;

    private final AtomicLong held = new AtomicLong();

    /** Counts an amount as used by this holder. */
    void add(long amount) {
      if (change(amount)) {
        used.addAndGet(amount);
      }
    }

    /** Counts an amount as no longer used by this holder. */
    void subtract(long amount) {
      add(-amount);
    }

    private boolean change(long amount) {
      long before = held.getAndUpdate(value -> value == RELEASED ? RELEASED : value + amount);
      return before != RELEASED;
    }

    /** Ends the share: what it held is free. */
    void release() {
      long before = held.getAndSet(RELEASED);
      if (before != RELEASED) {
        used.addAndGet(-before);
      }
    }

    /** Whether this holder uses nothing. */
    boolean isEmpty() {
      return held.get() <= 0;
    }

    /** Whether this holder uses more than is free, or more than any holder may. */
    boolean isExceeded() {
      long free = Math.max(0, capacity - used.get());
      return held.get() > Math.min(maxShare, free);
    }
  }
}
