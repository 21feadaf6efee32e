package switchgap.testbed.soak;

import java.util.concurrent.atomic.AtomicIntegerArray;

/** How many faults of each kind are on just now. Thread-safe. */
final class ActiveFaults {
  private final AtomicIntegerArray counts = new AtomicIntegerArray(FaultKind.values().length);

  void begin(FaultKind kind) {
    counts.incrementAndGet(kind.ordinal());
  }

  void end(FaultKind kind) {
    counts.decrementAndGet(kind.ordinal());
  }

  boolean isOn(FaultKind kind) {
    return counts.get(kind.ordinal()) > 0;
  }
}
