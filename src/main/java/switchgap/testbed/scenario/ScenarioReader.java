package switchgap.testbed.scenario;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.config.YamlDocument;
import switchgap.testbed.emulator.ClientRetryPolicy;

/** Reads the settings of a scenario from its YAML document; errors name file, line and key. */
final class ScenarioReader {
  private static final List<String> SECTIONS =
      List.of(
          "day",
          "zones",
          "fleet",
          "store",
          "list",
          "routers",
          "load",
          "workloads",
          "customers",
          "workers",
          "rules",
          "prices",
          "holds",
          "links",
          "levels",
          "script");

  /** Seeds are read as {@code double}, which represents all integers up to this value exactly. */
  private static final long MAX_SEED = 1L << 50;

  /** Upper bound for factors and counts that have no natural maximum. */
  static final double MAX_FACTOR = 1e6;

  private static final int NANOS_PER_MICRO = 1000;
  private final YamlDocument document;
  private final Path file;

  private ScenarioReader(YamlDocument document, Path file) {
    this.document = document;
    this.file = file;
  }

  /**
   * Reads the settings from a document.
   *
   * @param document the whole scenario document
   * @param file file that contains the document; its name is the default name of the scenario
   */
  static ScenarioSettings read(YamlDocument document, Path file) {
    return new ScenarioReader(document, file).read();
  }

  /** Reads the sections in this order; if several are invalid, the first error is reported. */
  private ScenarioSettings read() {
    ScenarioSettings.Timing timing = timing(document.section("day"));
    List<String> zones = document.has("zones") ? document.textList("zones") : List.of("zone");
    ScenarioSettings.Fleet fleet = fleet(document.section("fleet"));
    ScenarioSettings.Store store = store(document.optionalSection("store"));
    long listLag = listLag(document.optionalSection("list"));
    ScenarioSettings.Routers routers = routers(document.section("routers"));
    ScenarioSettings.Load load = load(document.section("load"));
    List<ScenarioSettings.RequestClassSpec> requestClasses =
        RequestClassReader.readAll(document.section("workloads"));
    Map<String, Double> tenantShares = tenantShares(document.section("customers"));
    boolean loadsOnMiss =
        document.optionalSection("workers").text("miss", "answers").equals("loads");
    ScenarioSettings.InvariantLimits limits = invariantLimits(document.optionalSection("rules"));
    List<ScenarioFault> faults = new ArrayList<>();
    for (YamlDocument entry : document.sections("script")) {
      faults.add(fault(entry));
    }
    for (String key : document.keys()) {
      if (!SECTIONS.contains(key)) {
        throw document.invalid(key, "is not a section of a scenario");
      }
    }
    return new ScenarioSettings(
        timing,
        zones,
        fleet,
        store,
        listLag,
        routers,
        load,
        requestClasses,
        tenantShares,
        loadsOnMiss,
        limits,
        faults);
  }

  private ScenarioSettings.Timing timing(YamlDocument section) {
    String fileName = file.getFileName().toString().replaceAll("\\.ya?ml$", "");
    ScenarioSettings.Timing timing =
        new ScenarioSettings.Timing(
            section.text("name", fileName),
            micros(section.duration("length")),
            (long) section.number("seed", 0, MAX_SEED),
            micros(section.duration("slack", Duration.ofMillis(25))),
            section.text("tick", "5ms"));
    section.rejectUnknownKeys();
    return timing;
  }

  private static ScenarioSettings.Fleet fleet(YamlDocument section) {
    int workers = section.integer("workers", 1, 500);
    int cellSize = section.integer("cell_size", 1, 500, 4);
    ScenarioSettings.WorkerLimits limits =
        new ScenarioSettings.WorkerLimits(
            section.integer("slots_per_core", 1, 100, 3),
            section.integer("queue_per_core", 0, 1000, 6),
            section.integer("loads_at_once", 1, 100, 4),
            micros(section.duration("keep_alive", Duration.ofSeconds(12))),
            section.number("fetch_share", 0, 1, 0.65),
            section.number("load_fails", 0, 1, 0),
            section.flag("eager", true));
    boolean reportsLoad = section.flag("tells_load", true);
    List<ScenarioSettings.WorkerKind> kinds = new ArrayList<>();
    YamlDocument kindSections = section.section("kinds");
    for (String name : kindSections.keys()) {
      YamlDocument kind = kindSections.section(name);
      kinds.add(
          new ScenarioSettings.WorkerKind(
              name,
              kind.number("share", 0, 1),
              kind.integer("cores", 1, 256),
              kind.number("speed", 0.01, 100),
              kind.number("memory", 1, 1e9)));
      kind.rejectUnknownKeys();
    }
    section.rejectUnknownKeys();
    return new ScenarioSettings.Fleet(workers, cellSize, limits, reportsLoad, kinds);
  }

  private static ScenarioSettings.Store store(YamlDocument section) {
    ScenarioSettings.Store store =
        new ScenarioSettings.Store(
            section.number("takes", 0.1, 1e6, 8),
            micros(section.duration("down", Duration.ofSeconds(3))));
    section.rejectUnknownKeys();
    return store;
  }

  private static long listLag(YamlDocument section) {
    long lag = micros(section.duration("lag", Duration.ofSeconds(1)));
    section.rejectUnknownKeys();
    return lag;
  }

  private static ScenarioSettings.Routers routers(YamlDocument section) {
    int count = section.integer("count", 1, 250);
    double busiestShare = section.number("busiest", 0, 1, 1.0 / count);
    boolean ownProcesses =
        !section.has("processes")
            || section.choice("processes", List.of("own", "one")).equals("own");
    boolean ownPlanners = section.flag("split", false);
    if (ownPlanners && !ownProcesses) {
      throw section.invalid("split", "requires routers in separate processes");
    }
    int maxAttempts = section.integer("executions", 1, 64, 3);
    // RouterConfigWriter copies these two values; here they are only accepted as known keys.
    section.text("most_come_back", "1s");
    section.flag("second_executions", false);
    section.rejectUnknownKeys();
    return new ScenarioSettings.Routers(
        count, busiestShare, ownProcesses, ownPlanners, maxAttempts);
  }

  private static ScenarioSettings.Load load(YamlDocument section) {
    double rate = section.number("rate", 0.1, 100_000);
    double zipf = section.number("zipf", 0, 5, 1.2);
    int functions = section.integer("functions", 1, 5000, 30);
    ClientRetryPolicy retries =
        new ClientRetryPolicy(
            section.integer("retries", 0, 20, 2), section.number("least_wait", 0.01, 1, 0.6),
            micros(section.duration("backoff", Duration.ofMillis(80))),
                section.number("honour", 0, 1, 0.8));
    section.rejectUnknownKeys();
    return new ScenarioSettings.Load(rate, zipf, functions, retries);
  }

  private static Map<String, Double> tenantShares(YamlDocument section) {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (String name : section.keys()) {
      YamlDocument tenant = section.section(name);
      // The rate is only validated here; RouterConfigWriter copies it.
      tenant.number("rate", 0, 1e9);
      shares.put(name, tenant.number("share", 0, 1));
      tenant.rejectUnknownKeys();
    }
    return shares;
  }

  private static ScenarioSettings.InvariantLimits invariantLimits(YamlDocument section) {
    return new ScenarioSettings.InvariantLimits(
        micros(section.duration("drain_grace", Duration.ofMillis(500))),
        section.number("cold_share", 0, 1, 1),
        micros(section.duration("cold_span", Duration.ZERO)),
        section.number("fall_multiple", 0, MAX_FACTOR, 3),
        micros(section.duration("fall_span", Duration.ofSeconds(1))),
        section.number("loads_free", 0, MAX_FACTOR, 0),
        section.number("loads_share", 0, MAX_FACTOR, 0),
        micros(section.duration("loads_span", Duration.ZERO)));
  }

  private static ScenarioFault fault(YamlDocument section) {
    FaultType type = section.choice("trouble", FaultType.class, null);
    if (type == null) {
      // The key is missing, so this call throws the exception that says so.
      section.text("trouble");
    }
    ScenarioFault fault =
        new ScenarioFault(
            micros(section.duration("at")),
            type,
            micros(section.duration("lasts", Duration.ZERO)),
            section.number("part", 0, 1, 0.2),
            section.number("size", 0, MAX_FACTOR, 2),
            section.text("of", null));
    section.rejectUnknownKeys();
    return fault;
  }

  /** Converts a duration to microseconds, the unit of {@link ScenarioSettings}. */
  static long micros(Duration duration) {
    return duration.toNanos() / NANOS_PER_MICRO;
  }
}
