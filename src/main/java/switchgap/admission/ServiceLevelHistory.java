package switchgap.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What operators see of the service levels: the last changes, time spent at each level, rejections.
 */
final class ServiceLevelHistory {
  /** Changes kept at most, in each of the two lists. */
  private static final int MAX_CHANGES = 64;

  private final List<ServiceLevelChange> recent = new ArrayList<>();
  private final List<ServiceLevelChange> undrained = new ArrayList<>();
  private final Duration[] timeAtLevel = new Duration[ServiceLevel.values().length];
  private final long[][] rejections; // by level, by request class

  ServiceLevelHistory(int requestClasses) {
    this.rejections = new long[ServiceLevel.values().length][requestClasses];
    Arrays.fill(timeAtLevel, Duration.ZERO);
  }

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

  void addTime(ServiceLevel level, Duration spent) {
    timeAtLevel[level.ordinal()] = timeAtLevel[level.ordinal()].plus(spent);
  }

  Duration timeAt(ServiceLevel level) {
    return timeAtLevel[level.ordinal()];
  }

  void countRejection(ServiceLevel level, int requestClass) {
    rejections[level.ordinal()][requestClass]++;
  }

  long rejections(ServiceLevel level, int requestClass) {
    return rejections[level.ordinal()][requestClass];
  }
}
