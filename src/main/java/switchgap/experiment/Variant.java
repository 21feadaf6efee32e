package switchgap.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.admission.ServiceLevel;
import switchgap.config.YamlDocument;

/**
 * One way to run the routers of an experiment.
 *
 * @param name   in tables and plots
 * @param before what stands before the module
 * @param pinned a level held the whole time, or null
 * @param terms  values put into the routers' pages, by {@code part.key}
 */
record Variant(String name, Before before, ServiceLevel pinned, Map<String, String> terms) {
    /** What stands before the module. */
    enum Before { NOTHING, STATIC, LEVELS }

    static final Variant OFF = new Variant("off", Before.NOTHING, null, Map.of());
    static final Variant LEVELS = new Variant("levels", Before.LEVELS, null, Map.of());

    /** Reads {@code - {name: off, before: nothing, pin: least, terms: {levels.keep: 0.985}}} and its like. */
    static List<Variant> read(YamlDocument under) {
        List<Variant> all = new ArrayList<>();
        for (YamlDocument p : under.sections("variants")) {
            Map<String, String> terms = new LinkedHashMap<>();
            if (p.has("terms")) {
                YamlDocument t = p.section("terms");
                for (String k : t.keys()) {
                    if (k.split("\\.").length != 2) { throw t.invalid(k, "must be written part.key"); }
                    terms.put(k, t.text(k));
                }
            }
            all.add(new Variant(p.text("name"), p.choice("before", Before.class, Before.LEVELS),
                p.choice("pin", ServiceLevel.class, null),
                Map.copyOf(terms)));
            p.rejectUnknownKeys();
        }
        if (all.isEmpty()) { throw under.invalid("variants", "needs one or more"); }
        return all;
    }
}
