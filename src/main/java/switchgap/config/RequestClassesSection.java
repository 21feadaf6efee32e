package switchgap.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;

/**
 * The section {@code workloads}: the request classes, in the order of the document; there is at
 * least one.
 */
record RequestClassesSection(List<RequestClassSettings> classes) {
  private static final double MAX_PRIORITY_WEIGHT = 1e6;

  /** Values of the key {@code repeat}, in the order in which error messages list them. */
  private static final Map<String, Idempotency> IDEMPOTENCY_WORDS = new LinkedHashMap<>();

  static {
    IDEMPOTENCY_WORDS.put("restartable", Idempotency.IDEMPOTENT);
    IDEMPOTENCY_WORDS.put("fingerprinted", Idempotency.IDEMPOTENT_WITH_KEY);
    IDEMPOTENCY_WORDS.put("run-once", Idempotency.NON_IDEMPOTENT);
  }

  static RequestClassesSection read(YamlDocument document) {
    YamlDocument section = document.section("workloads");
    List<RequestClassSettings> classes = new ArrayList<>();
    for (String name : section.keys()) {
      classes.add(readClass(name, section.section(name)));
    }
    if (classes.isEmpty()) {
      throw document.invalid("workloads", "must define at least one workload");
    }
    return new RequestClassesSection(classes);
  }

  private static RequestClassSettings readClass(String name, YamlDocument section) {
    Duration latencyObjective = section.duration("start_target");
    Duration timeout = section.duration("time_limit");
    if (latencyObjective.isZero()) {
      throw section.invalid("start_target", "must be above 0");
    }
    if (timeout.compareTo(latencyObjective) < 0) {
      throw section.invalid("time_limit", "must not be shorter than start_target");
    }
    List<String> idempotencyWords = List.copyOf(IDEMPOTENCY_WORDS.keySet());
    Idempotency idempotency = IDEMPOTENCY_WORDS.get(section.choice("repeat", idempotencyWords));
    Duration deduplicationWindow = section.duration("memory_span", Duration.ZERO);
    if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY && deduplicationWindow.isZero()) {
      throw section.invalid(
          "repeat",
          "a fingerprinted workload needs memory_span, "
              + "the time for which workers remember idempotency keys");
    }
    double priorityWeight = section.number("importance", 0, MAX_PRIORITY_WEIGHT, 1);
    double lateValueShare = section.number("late_share", 0, 1, 0);
    DeduplicationScope scope =
        section.choice("group", DeduplicationScope.class, DeduplicationScope.ALL);
    section.rejectUnknownKeys();
    return new RequestClassSettings(
        name,
        latencyObjective,
        timeout,
        priorityWeight,
        lateValueShare,
        idempotency,
        scope,
        deduplicationWindow);
  }

  /** The index of the request class with this name, or -1 if there is none. */
  int index(String name) {
    for (int i = 0; i < classes.size(); i++) {
      if (classes.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  List<String> names() {
    return classes.stream().map(RequestClassSettings::name).toList();
  }
}
