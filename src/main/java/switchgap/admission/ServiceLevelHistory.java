package switchgap.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** History of the service levels for operators: last changes, time at each level, rejections. */
final class ServiceLevelHistory {
  /** Bound of each of the two lists of changes; older changes are dropped. */
  private static final int MAX_CHANGES = 64;

  private final List<ServiceLevelChange> recent = new ArrayList<>();
  private final List<ServiceLevelChange> undrained = new ArrayList<>();
  private final Duration[] timeAtLevel = new Duration[ServiceLevel.values().length];
  private final long[][] rejections; // by level, by request class

  ServiceLevelHistory(int requestClasses) {
    this.rejections = new long[ServiceLevel.values().length][requestClasses];
    Arrays.fill(timeAtLevel, Duration.ZERO);
  }

  /** Adds a change to both lists. */
  void add(ServiceLevelChange change) {
    append(recent, change);
    append(undrained, change);
  }

  private static void append(List<ServiceLevelChange> changes, ServiceLevelChange change) {
    if (changes.size() == MAX_CHANGES) {
      changes.remove(0);
    }
    changes.add(change);
  }

  /** The last changes, oldest first. */
  List<ServiceLevelChange> changes() {
    return List.copyOf(recent);
  }

  /** The changes since the last drain, oldest first. */
  List<ServiceLevelChange> drain() {
    List<ServiceLevelChange> drained = List.copyOf(undrained);
    undrained.clear();
    return drained;
  }

  /** Counts time spent at a level. */
  void addTime(ServiceLevel level, Duration spent) {
    timeAtLevel[level.ordinal()] = timeAtLevel[level.ordinal()].plus(spent);
  }

  /** Total time at a level. */
  Duration timeAt(ServiceLevel level) {
    return timeAtLevel[level.ordinal()];
  }

  /** Counts a request of a class that a level rejected. */
  void countRejection(ServiceLevel level, int requestClass) {
    rejections[level.ordinal()][requestClass]++;
  }

  /** Number of requests of a class that a level rejected. */
  long rejections(ServiceLevel level, int requestClass) {
    return rejections[level.ordinal()][requestClass];
  }
}
