package switchgap.testbed.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.config.YamlDocument;
import switchgap.policy.api.Idempotency;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.RequestClassProfile;

/** Reads section {@code workloads} of a scenario: the request classes and their functions. */
final class RequestClassReader {
  private static final Map<String, Idempotency> IDEMPOTENCY_WORDS = new LinkedHashMap<>();

  static {
    IDEMPOTENCY_WORDS.put("restartable", Idempotency.IDEMPOTENT);
    IDEMPOTENCY_WORDS.put("fingerprinted", Idempotency.IDEMPOTENT_WITH_KEY);
    IDEMPOTENCY_WORDS.put("run-once", Idempotency.NON_IDEMPOTENT);
  }

  private RequestClassReader() {}

  static List<ScenarioSettings.RequestClassSpec> readAll(YamlDocument section) {
    List<ScenarioSettings.RequestClassSpec> requestClasses = new ArrayList<>();
    for (String name : section.keys()) {
      requestClasses.add(read(name, section.section(name)));
    }
    return requestClasses;
  }

  private static ScenarioSettings.RequestClassSpec read(String name, YamlDocument section) {
    Idempotency idempotency = idempotency(section);
    RequestClassProfile profile = profile(name, section, idempotency);
    FunctionCatalogue.FunctionGroup functions = functions(name, section, idempotency);
    // RouterConfigWriter copies these keys; they are accepted in every request class.
    section.text("group", "all");
    section.has("memory_span");
    section.rejectUnknownKeys();
    return new ScenarioSettings.RequestClassSpec(idempotency, profile, functions);
  }

  private static Idempotency idempotency(YamlDocument section) {
    String word = section.choice("repeat", List.copyOf(IDEMPOTENCY_WORDS.keySet()));
    return IDEMPOTENCY_WORDS.get(word);
  }

  private static RequestClassProfile profile(
      String name, YamlDocument section, Idempotency idempotency) {
    long objective = ScenarioReader.micros(section.duration("start_target"));
    long timeout = ScenarioReader.micros(section.duration("time_limit"));
    double weight = section.number("importance", 0, ScenarioReader.MAX_FACTOR, 1);
    double lateShare = section.number("late_share", 0, 1, 0);
    boolean usesIdempotencyKey = idempotency == Idempotency.IDEMPOTENT_WITH_KEY;
    // Workers deduplicate by idempotency key within their group only. With a single group for all
    // workers, a retry at any worker is safe.
    boolean retriesAll =
        idempotency == Idempotency.IDEMPOTENT
            || (usesIdempotencyKey && section.text("group", "all").equals("all"));
    return new RequestClassProfile(
        name, objective, timeout, weight, lateShare, retriesAll, usesIdempotencyKey);
  }

  private static FunctionCatalogue.FunctionGroup functions(
      String name, YamlDocument section, Idempotency idempotency) {
    boolean usesIdempotencyKey = idempotency == Idempotency.IDEMPOTENT_WITH_KEY;
    return new FunctionCatalogue.FunctionGroup(
        name,
        section.number("share", 0, 1),
        section.number("memory", 1, 1e6),
        section.integer("lanes", 1, 1000),
        ScenarioReader.micros(section.duration("load")),
        ScenarioReader.micros(section.duration("work")),
        ScenarioReader.micros(section.duration("io", Duration.ZERO)),
        section.number("spread", 0, 2, 0.4),
        usesIdempotencyKey ? ScenarioReader.micros(section.duration("memory_span")) : 0);
  }
}
