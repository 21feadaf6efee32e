package switchgap.planner;

/** Builds pending loads for worker w; by default of function f, for which no requests wait. */
final class PendingLoadBuilder {
  private static final int MEMORY_MB = 1;

  private final long id;
  private String function = "f";
  private long loadMicros;
  private double priorityWeight;
  private long ageMicros;

  private PendingLoadBuilder(long id) {
    this.id = id;
  }

  static PendingLoadBuilder load(long id) {
    return new PendingLoadBuilder(id);
  }

  PendingLoadBuilder function(String name) {
    function = name;
    return this;
  }

  PendingLoadBuilder loadMicros(long micros) {
    loadMicros = micros;
    return this;
  }

  PendingLoadBuilder priorityWeight(double weight) {
    priorityWeight = weight;
    return this;
  }

  PendingLoadBuilder ageMicros(long micros) {
    ageMicros = micros;
    return this;
  }

  PendingLoad build() {
    return new PendingLoad(id, "w", function, MEMORY_MB, loadMicros, priorityWeight, ageMicros);
  }
}
