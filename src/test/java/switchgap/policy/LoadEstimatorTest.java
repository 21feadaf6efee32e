package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.TestEvents.list;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;

/** Expected durations of requests, and load probes. */
class LoadEstimatorTest {
  @Test
  void expectedDurationFollowsRecentDurations() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    RequestSeries series = new RequestSeries(harness);
    int time = series.run(100, 20_000, 60, 40);
    time = series.run(time, 400, 400, 390);
    int arrival = time;
    // The timeout is less than 1.5 times the recent durations of 390 ms.
    harness.at(arrival, events -> harness.requestArrives(events, 99, 0, 420));
    String trace = harness.trace();
    assertThat(trace.substring(Math.max(0, trace.length() - 300)))
        .contains(arrival + " reject request 99");
  }

  /** The request is sent whether the workers are probed or not. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.01, 0.08})
  void probesLoadOnlyWhenProbePriceIsLow(double price) {
    TestSettings settings = new TestSettings();
    settings.routerCount = 200;
    settings.probePrice = price;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(
            90,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, harness.sentTo(0)).withDuration(80).withConcurrency(8)))
        .until(1100);
    harness.at(1200, events -> harness.requestArrives(events, 1, 0)).until(1300);
    assertThat(harness.count("probe") > 0).isEqualTo(price < 0.015);
    assertThat(harness.count("send")).isEqualTo(2);
  }

  /** A worker that has just started may reply to a probe without a load report. */
  @Test
  void probesLoadAgainAfterProbeWithoutReport() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(
            90,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, harness.sentTo(0)).withDuration(80).withConcurrency(8)))
        .until(1100);
    harness.at(1200, events -> harness.requestArrives(events, 1, 0));
    assertThat(harness.count("probe")).isPositive();
    long probesBefore = harness.count("probe");
    for (int worker = 0; worker < 4; worker++) {
      int responding = worker;
      harness.at(
          1202,
          events ->
              events.probeEnded(
                  new ProbeResult(responding, AttemptOutcome.SUCCEEDED, LoadReport.NONE)));
    }
    harness
        .until(1300)
        .at(
            1320,
            events ->
                harness.attemptEnds(
                    events, succeeded(1, harness.sentTo(1)).withDuration(80).withConcurrency(8)))
        .until(3000);
    for (int i = 0; i < 20; i++) {
      int request = 2 + i;
      harness
          .at(3000 + 6000 * i, events -> harness.requestArrives(events, request, 0))
          .until(3100 + 6000 * i);
      if (harness.sentTo(request) >= 0) {
        harness.at(
            3120 + 6000 * i,
            events ->
                harness.attemptEnds(
                    events,
                    succeeded(request, harness.sentTo(request))
                        .withDuration(80)
                        .withConcurrency(8)));
      }
      harness.until(8980 + 6000 * i);
    }
    assertThat(harness.count("probe"))
        .as(harness.trace().substring(Math.max(0, harness.trace().length() - 1500)))
        .isGreaterThan(probesBefore + 1);
  }
}
