package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.admission.ServiceLevel;
import switchgap.config.YamlDocument;

/**
 * A configuration of the routers that an experiment compares with others.
 *
 * @param name name of the variant in tables and charts
 * @param admission how requests are admitted before they reach the routing policy
 * @param pinnedLevel service level that the routers keep for the whole trial, null for levels that
 *     change
 * @param settingOverrides values that replace those of the routers' configuration documents, by
 *     {@code section.key}
 */
record Variant(
    String name,
    AdmissionMode admission,
    ServiceLevel pinnedLevel,
    Map<String, String> settingOverrides) {
  /**
   * How requests are admitted before they reach the routing policy. Experiment files contain the
   * constants' names in lower case.
   */
  enum AdmissionMode {
    NOTHING,
    STATIC,
    LEVELS
  }

  static final Variant OFF = new Variant("off", AdmissionMode.NOTHING, null, Map.of());
  static final Variant LEVELS = new Variant("levels", AdmissionMode.LEVELS, null, Map.of());

  /**
   * Reads the list of variants, with entries such as {@code {name: off, before: nothing, pin:
   * least, terms: {levels.keep: 0.985}}}.
   */
  static List<Variant> read(YamlDocument experimentDocument) {
    List<Variant> variants = new ArrayList<>();
    for (YamlDocument variantSection : experimentDocument.sections("variants")) {
      Map<String, String> overrides = settingOverrides(variantSection);
      variants.add(
          new Variant(
              variantSection.text("name"),
              variantSection.choice("before", AdmissionMode.class, AdmissionMode.LEVELS),
              variantSection.choice("pin", ServiceLevel.class, null),
              overrides));
      variantSection.rejectUnknownKeys();
    }
    if (variants.isEmpty()) {
      throw experimentDocument.invalid("variants", "needs at least one variant");
    }
    return variants;
  }

  private static Map<String, String> settingOverrides(YamlDocument variantSection) {
    if (!variantSection.has("terms")) {
      return Map.of();
    }
    Map<String, String> overrides = new LinkedHashMap<>();
    YamlDocument overridesSection = variantSection.section("terms");
    for (String key : overridesSection.keys()) {
      if (key.split("\\.").length != 2) {
        throw overridesSection.invalid(key, "must have the form section.key");
      }
      overrides.put(key, overridesSection.text(key));
    }
    return Map.copyOf(overrides);
  }
}
