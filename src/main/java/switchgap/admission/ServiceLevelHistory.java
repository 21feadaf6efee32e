package switchgap.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * History of the service levels for operators: the last changes, the time at each level and the
 * number of rejections.
 */
final class ServiceLevelHistory {
  /** Maximum length of each of the two lists of changes; the oldest changes are dropped. */
  private static final int MAX_CHANGES = 64;

  private final List<ServiceLevelChange> recentChanges = new ArrayList<>();
  private final List<ServiceLevelChange> undrainedChanges = new ArrayList<>();
  private final Duration[] timeAtLevel = new Duration[ServiceLevel.values().length];

  /** Indexed by level and request class. */
  private final long[][] rejections;

  ServiceLevelHistory(int requestClasses) {
    this.rejections = new long[ServiceLevel.values().length][requestClasses];
    Arrays.fill(timeAtLevel, Duration.ZERO);
  }

  /** Adds a change to the recent and the undrained changes. */
  void add(ServiceLevelChange change) {
    append(recentChanges, change);
    append(undrainedChanges, change);
  }

  private static void append(List<ServiceLevelChange> changes, ServiceLevelChange change) {
    if (changes.size() == MAX_CHANGES) {
      changes.remove(0);
    }
    changes.add(change);
  }

  /** The last changes, oldest first. */
  List<ServiceLevelChange> changes() {
    return List.copyOf(recentChanges);
  }

  /** The changes since the last drain, oldest first. */
  List<ServiceLevelChange> drain() {
    List<ServiceLevelChange> drained = List.copyOf(undrainedChanges);
    undrainedChanges.clear();
    return drained;
  }

  /** Adds time spent at a level. */
  void addTime(ServiceLevel level, Duration spent) {
    timeAtLevel[level.ordinal()] = timeAtLevel[level.ordinal()].plus(spent);
  }

  Duration timeAt(ServiceLevel level) {
    return timeAtLevel[level.ordinal()];
  }

  /** Counts a rejected request. */
  void countRejection(ServiceLevel level, int requestClass) {
    rejections[level.ordinal()][requestClass]++;
  }

  long rejections(ServiceLevel level, int requestClass) {
    return rejections[level.ordinal()][requestClass];
  }
}
