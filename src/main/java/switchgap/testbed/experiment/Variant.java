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
 * @param before what stands before the policy
 * @param pinned a level held the whole time, or null
 * @param terms values put into the routers' documents, by {@code section.key}
 */
record Variant(String name, Before before, ServiceLevel pinned, Map<String, String> terms) {
  /** What stands before the policy; words of experiment files. */
  enum Before {
    NOTHING,
    STATIC,
    LEVELS
  }

  static final Variant OFF = new Variant("off", Before.NOTHING, null, Map.of());
  static final Variant LEVELS = new Variant("levels", Before.LEVELS, null, Map.of());

  /**
   * Reads {@code - {name: off, before: nothing, pin: least, terms: {levels.keep: 0.985}}} and its
   * like.
   */
  static List<Variant> read(YamlDocument under) {
    List<Variant> all = new ArrayList<>();
    for (YamlDocument document : under.sections("variants")) {
      Map<String, String> terms = new LinkedHashMap<>();
      if (document.has("terms")) {
        YamlDocument section = document.section("terms");
        for (String key : section.keys()) {
          if (key.split("\\.").length != 2) {
            throw section.invalid(key, "must be written part.key");
          }
          terms.put(key, section.text(key));
        }
      }
      all.add(
          new Variant(
              document.text("name"),
              document.choice("before", Before.class, Before.LEVELS),
              document.choice("pin", ServiceLevel.class, null),
              Map.copyOf(terms)));
      document.rejectUnknownKeys();
    }
    if (all.isEmpty()) {
      throw under.invalid("variants", "needs one or more");
    }
    return all;
  }
}
