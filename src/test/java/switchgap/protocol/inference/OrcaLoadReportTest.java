package switchgap.protocol.inference;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.LoadReport;

/** Checks load reports in TEXT and JSON form, valid and invalid. */
class OrcaLoadReportTest {
  private static OrcaLoadReport parse(String header) {
    return OrcaLoadReport.parse(Map.of(OrcaLoadReport.HEADER, header));
  }

  @Test
  void textAndJsonFormsAreParsedAlike() {
    String metrics =
        "cpu_utilization=0.5, named_metrics.inflight=3,named_metrics.queue=1"
            + ",named_metrics.crowd=2";
    String namedMetrics = "{\"inflight\":3,\"queue\":1,\"crowd\":2}";
    String json = "{\"cpu_utilization\":0.5,\"named_metrics\":" + namedMetrics + "}";
    for (String header : new String[] {"TEXT " + metrics, metrics, "JSON " + json}) {
      assertThat(parse(header).toLoadReport()).as(header).isEqualTo(new LoadReport(0.5, 3, 1, 2));
      assertThat(parse(header).reportsNotExecuted()).as(header).isFalse();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"TEXT named_metrics.executed=0", "JSON {\"named_metrics\":{\"executed\":0}}"})
  void onlyAnExecutedMetricOfZeroReportsNotExecuted(String header) {
    assertThat(parse(header).reportsNotExecuted()).isTrue();
    assertThat(parse(header.replace('0', '1')).reportsNotExecuted()).isFalse();
    assertThat(OrcaLoadReport.EMPTY.reportsNotExecuted()).isFalse();
  }

  /**
   * Guards against negative, infinite and huge values that reach the routing policy. The JSON form
   * once did not reject them.
   */
  @ParameterizedTest
  @ValueSource(strings = {"-1", "1e999", "1e6"})
  void metricsOutOfRangeAreIgnoredInBothForms(String value) {
    String json =
        "JSON {\"cpu_utilization\":%1$s,\"named_metrics\":{\"inflight\":%1$s,\"copies\":%1$s}}";
    String text = "TEXT cpu_utilization=%1$s,named_metrics.inflight=%1$s,named_metrics.copies=%1$s";
    for (String form : new String[] {json, text}) {
      OrcaLoadReport report = parse(String.format(form, value));
      assertThat(report.toLoadReport()).as(form).isEqualTo(LoadReport.NONE);
      assertThat(report.namedMetric(OrcaLoadReport.REPLICAS)).as(form).isNaN();
    }
  }

  @Test
  void anUnparsableReportIsEmpty() {
    assertThat(parse("JSON {\"cpu_utilization\":0.5,").toLoadReport()).isEqualTo(LoadReport.NONE);
    assertThat(parse("TEXT cpu_utilization=half").toLoadReport()).isEqualTo(LoadReport.NONE);
    assertThat(parse("TEXT cpu_utilization=0.5" + " ".repeat(5000)).toLoadReport())
        .isEqualTo(LoadReport.NONE);
    assertThat(OrcaLoadReport.parse(Map.of()).toLoadReport()).isEqualTo(LoadReport.NONE);
  }
}
