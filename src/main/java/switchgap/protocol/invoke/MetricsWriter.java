package switchgap.protocol.invoke;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.config.EnumWords;
import switchgap.config.YamlRouterSettings;

/**
 * Writes metrics of requests and service levels in the Prometheus text format, on the event loop.
 */
final class MetricsWriter {
  static final String MEDIA_TYPE = "text/plain; version=0.0.4";
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final YamlRouterSettings settings;
  private final StringBuilder text = new StringBuilder();

  private MetricsWriter(YamlRouterSettings settings) {
    this.settings = settings;
  }

  /** Returns the metrics page; {@code admission} is null if admission control is off. */
  static byte[] write(
      YamlRouterSettings settings, RequestTracker tracker, AdmissionController admission) {
    MetricsWriter writer = new MetricsWriter(settings);
    writer.appendRequestMetrics(tracker.pending(), tracker.counts());
    if (admission != null) {
      writer.appendServiceLevelMetrics(admission);
    }
    return writer.text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void appendRequestMetrics(int pending, RequestCounts counts) {
    appendSample("switchgap_calls_held", pending);
    appendSample("switchgap_calls_ended{end=\"finished\"}", counts.succeeded());
    appendSample("switchgap_calls_ended{end=\"pushed_back\"}", counts.rejected());
    appendSample("switchgap_calls_ended{end=\"killed\"}", counts.failed());
    appendSample("switchgap_calls_ended{end=\"overdue\"}", counts.overdue());
  }

  private void appendServiceLevelMetrics(AdmissionController admission) {
    appendSample("switchgap_level", admission.level().ordinal());
    appendSample(
        "switchgap_level_depth", String.format(Locale.ROOT, "%.3f", admission.shedFraction()));
    for (ServiceLevel level : ServiceLevel.values()) {
      String label = "{level=\"" + EnumWords.wordOf(level) + "\"";
      appendSample(
          "switchgap_level_seconds" + label + "}",
          admission.timeAt(level).toMillis() / MILLIS_PER_SECOND);
      for (int i = 0; i < settings.requestClassCount(); i++) {
        appendSample(
            "switchgap_level_pushed_back"
                + label
                + ",workload=\""
                + settings.requestClass(i).name()
                + "\"}",
            admission.rejections(level, i));
      }
    }
  }

  private void appendSample(String name, Object value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
