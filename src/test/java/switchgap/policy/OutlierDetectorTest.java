package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.ended;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.AttemptEnd.timedOut;
import static switchgap.policy.TestEvents.list;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;

/** Ejection of failing workers. */
class OutlierDetectorTest {
  /**
   * A worker that fails fast appears to be idle and would attract requests. It is ejected after two
   * errors; after the ejection a single attempt tests whether it has recovered.
   */
  @Test
  void ejectsFailingWorkerAndRetestsItAfterEjection() throws IOException {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 5; i++) {
      int request = i;
      harness.at(10 + 300 * i, events -> harness.requestArrives(events, request, 0));
      int worker = harness.sentTo(request);
      boolean fails = worker == harness.firstWorker() && i < 2;
      harness.at(
          15 + 300 * i,
          events ->
              harness.attemptEnds(
                  events,
                  ended(request, worker, fails ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED)
                      .withDuration(5)
                      .withConcurrency(0)));
      harness.at(
          40 + 300 * i,
          events -> {
            if (fails) {
              int other = harness.sentTo(request);
              harness.attemptEnds(
                  events,
                  succeeded(request, other).withNumber(1).withDuration(20).withConcurrency(0));
            }
          });
    }
    harness.assertTrace("ejected");
  }

  /** A worker that does not reply to a probe in time may merely be busy. */
  @Test
  void doesNotEjectWorkerWhenLoadProbeTimesOut() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness.at(
        90,
        events ->
            harness.attemptEnds(events, succeeded(0, primary).withDuration(80).withConcurrency(0)));
    harness.at(
        100,
        events ->
            events.probeEnded(new ProbeResult(primary, AttemptOutcome.TIMED_OUT, LoadReport.NONE)));
    harness.at(110, events -> harness.requestArrives(events, 1, 0));
    assertThat(harness.trace()).contains("110 send request 1 to worker " + primary);
  }

  /**
   * Returns the workers that requests of eight functions are sent to, after {@code errors} requests
   * of functions that do not exist have failed at one worker.
   */
  private static List<Integer> workersAfterErrors(int errors) {
    TestSettings settings = new TestSettings();
    settings.idempotency = Idempotency.NON_IDEMPOTENT;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4));
    int workerOfRequest206 = -1;
    // A fleet that only returns errors has no outlier, so there are successes first.
    for (int i = 0; i < 60; i++) {
      int request = 200 + i;
      harness.at(1 + i, events -> harness.requestArrives(events, request, request % 8));
      workerOfRequest206 = request == 206 ? harness.sentTo(request) : workerOfRequest206;
      harness.at(
          1 + i,
          events ->
              harness.attemptEnds(
                  events,
                  succeeded(request, harness.sentTo(request)).withDuration(5).withConcurrency(0)));
    }
    int failing = workerOfRequest206;
    for (int i = 0; i < errors; i++) {
      int request = i;
      harness
          .at(70 + 5 * i, events -> harness.requestArrives(events, request, 100 + request))
          .at(
              72 + 5 * i,
              events -> {
                if (harness.sentTo(request) != failing) {
                  events.clientDisconnected(request);
                }
                harness.attemptEnds(
                    events,
                    ended(
                            request,
                            harness.sentTo(request),
                            harness.sentTo(request) == failing
                                ? AttemptOutcome.FAILED
                                : AttemptOutcome.CANCELLED)
                        .withDuration(2));
              });
    }
    harness.at(
        500,
        events -> {
          for (int i = 0; i < 8; i++) {
            harness.requestArrives(events, 50 + i, i);
          }
        });
    return IntStream.range(50, 58).mapToObj(harness::sentTo).toList();
  }

  @Test
  void doesNotEjectWorkerForErrorsOfMissingFunctions() {
    assertThat(workersAfterErrors(48)).isEqualTo(workersAfterErrors(0)).doesNotContain(-1);
  }

  @Test
  void doesNotEjectWorkerThatLosesSomeResponses() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    int first = harness.scaleToTwoReplicas(0).first();
    // One of three responses is lost.
    for (int i = 0; i < 6; i++) {
      int start = 2000 + 700 * i;
      harness
          .at(start, events -> harness.requestArrives(events, 2, 0))
          .at(start + 5, events -> harness.requestArrives(events, 3, 0))
          .at(start + 10, events -> harness.requestArrives(events, 4, 0));
      assertThat(List.of(harness.sentTo(2), harness.sentTo(3), harness.sentTo(4))).contains(first);
      for (int request : new int[] {3, 4}) {
        int worker = harness.sentTo(request);
        harness.at(
            start + 60 + request,
            events ->
                harness.attemptEnds(
                    events, succeeded(request, worker).withDuration(60).withConcurrency(3)));
      }
      int losing = harness.sentTo(2);
      harness.at(
          start + 500,
          events -> harness.attemptEnds(events, timedOut(2, losing).withDuration(500)));
      succeedRetry(harness, start + 600, 500);
    }
  }

  @Test
  void ejectsWorkerThatRespondsToNothing() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    int unresponsive = harness.scaleToTwoReplicas(0).first();
    List<Integer> workersUsed = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      int start = 2000 + 700 * i;
      harness.at(start, events -> harness.requestArrives(events, 2, 0));
      int worker = harness.sentTo(2);
      workersUsed.add(worker);
      AttemptOutcome outcome =
          worker == unresponsive ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCEEDED;
      harness.at(
          start + 500,
          events ->
              harness.attemptEnds(
                  events, ended(2, worker, outcome).withDuration(500).withConcurrency(3)));
      succeedRetry(harness, start + 650, 150);
    }
    assertThat(workersUsed.subList(0, 2)).containsOnly(unresponsive);
    assertThat(workersUsed.subList(2, 4)).doesNotContain(unresponsive);
  }

  /** Ends the second attempt of request 2, if there is one, with success. */
  private static void succeedRetry(PolicyHarness harness, int time, int durationMillis) {
    harness.at(
        time,
        events -> {
          int worker = harness.sentTo(2);
          if (worker >= 0) {
            harness.attemptEnds(
                events,
                succeeded(2, worker).withNumber(1).withDuration(durationMillis).withConcurrency(3));
          }
        });
  }
}
