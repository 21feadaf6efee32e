package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.admission.ServiceLevel;
import switchgap.config.YamlDocument;

/**
 * One way to run the routers of an experiment.
 *
 * @param name in tables and plots
 * @param admission what decides on admission before the policy
 * @param pinned a service level that never changes, or null
 * @param settingOverrides values put into the routers' documents, by {@code section.key}
 */
record Variant(
    String name,
    AdmissionMode admission,
    ServiceLevel pinned,
    Map<String, String> settingOverrides) {
  /** What decides on admission before the policy; words of experiment files. */
  enum AdmissionMode {
    NOTHING,
    STATIC,
    LEVELS
  }

  static final Variant OFF = new Variant("off", AdmissionMode.NOTHING, null, Map.of());
  static final Variant LEVELS = new Variant("levels", AdmissionMode.LEVELS, null, Map.of());

  /**
   * Reads {@code - {name: off, before: nothing, pin: least, terms: {levels.keep: 0.985}}} and its
   * like.
   */
  static List<Variant> read(YamlDocument under) {
    List<Variant> all = new ArrayList<>();
    for (YamlDocument document : under.sections("variants")) {
      Map<String, String> overrides = settingOverrides(document);
      all.add(
          new Variant(
              document.text("name"),
              document.choice("before", AdmissionMode.class, AdmissionMode.LEVELS),
              document.choice("pin", ServiceLevel.class, null),
              overrides));
      document.rejectUnknownKeys();
    }
    if (all.isEmpty()) {
      throw under.invalid("variants", "needs one or more");
    }
    return all;
  }

  private static Map<String, String> settingOverrides(YamlDocument document) {
    if (!document.has("terms")) {
      return Map.of();
    }
    Map<String, String> overrides = new LinkedHashMap<>();
    YamlDocument section = document.section("terms");
    for (String key : section.keys()) {
      if (key.split("\\.").length != 2) {
        throw section.invalid(key, "must be written part.key");
      }
      overrides.put(key, section.text(key));
    }
    return Map.copyOf(overrides);
  }
}
