package switchgap.testbed.soak;

import java.util.concurrent.atomic.AtomicIntegerArray;

/** Counts the active faults of each type. Thread-safe. */
final class ActiveFaults {
  private final AtomicIntegerArray counts = new AtomicIntegerArray(SoakFaultType.values().length);

  void begin(SoakFaultType type) {
    counts.incrementAndGet(type.ordinal());
  }

  void end(SoakFaultType type) {
    counts.decrementAndGet(type.ordinal());
  }

  boolean isActive(SoakFaultType type) {
    return counts.get(type.ordinal()) > 0;
  }
}
