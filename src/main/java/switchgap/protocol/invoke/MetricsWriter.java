package switchgap.protocol.invoke;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.config.EnumWords;
import switchgap.config.YamlRouterSettings;

/** Metrics of requests and service levels in the Prometheus text format; on the event loop. */
final class MetricsWriter {
  static final String MEDIA_TYPE = "text/plain; version=0.0.4";
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final YamlRouterSettings settings;
  private final StringBuilder text = new StringBuilder();

  private MetricsWriter(YamlRouterSettings settings) {
    this.settings = settings;
  }

  /** The metrics page; {@code admission} is null where admission control is off. */
  static byte[] write(
      YamlRouterSettings settings, RequestTracker tracker, AdmissionController admission) {
    MetricsWriter writer = new MetricsWriter(settings);
    writer.requests(tracker.pending(), tracker.counts());
    if (admission != null) {
      writer.serviceLevels(admission);
    }
    return writer.text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void requests(int pending, RequestCounts counts) {
    sample("switchgap_calls_held", pending);
    sample("switchgap_calls_ended{end=\"finished\"}", counts.succeeded());
    sample("switchgap_calls_ended{end=\"pushed_back\"}", counts.rejected());
    sample("switchgap_calls_ended{end=\"killed\"}", counts.failed());
    sample("switchgap_calls_ended{end=\"overdue\"}", counts.overdue());
  }

  private void serviceLevels(AdmissionController admission) {
    sample("switchgap_level", admission.level().ordinal());
    sample("switchgap_level_depth", String.format(Locale.ROOT, "%.3f", admission.shedFraction()));
    for (ServiceLevel level : ServiceLevel.values()) {
      String label = "{level=\"" + EnumWords.wordOf(level) + "\"";
      sample(
          "switchgap_level_seconds" + label + "}",
          admission.timeAt(level).toMillis() / MILLIS_PER_SECOND);
      for (int i = 0; i < settings.requestClassCount(); i++) {
        sample(
            "switchgap_level_pushed_back"
                + label
                + ",workload=\""
                + settings.requestClass(i).name()
                + "\"}",
            admission.rejections(level, i));
      }
    }
  }

  private void sample(String name, Object value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
