package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.AttemptEnd.rejected;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.change;
import static switchgap.policy.TestEvents.list;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.WorkerState;

/** Leases of workers while the endpoint list is unconfirmed. */
class WorkerLeasesTest {
  private static final int WORKERS = 4;
  private static final int CONFIRMED_UNTIL_MILLIS = 1000;

  private final TestSettings settings = new TestSettings();
  private PolicyHarness harness;
  private int primary;

  /**
   * Confirms the endpoint list for one second, and has one request of function 0 served, so that
   * the primary worker is known to have its replica.
   */
  private void serveOnceWhileConfirmed() {
    harness = new PolicyHarness(settings);
    harness
        .at(
            0,
            events -> {
              list(events, WORKERS);
              events.endpointListConfirmedUntil(millis(CONFIRMED_UNTIL_MILLIS));
            })
        .at(10, events -> harness.requestArrives(events, 0, 0));
    primary = harness.firstWorker();
    harness.at(60, events -> harness.attemptEnds(events, succeeded(0, primary).withDuration(50)));
  }

  private static void probeEnds(PolicyEvents events, int worker, AttemptOutcome outcome) {
    events.probeEnded(new ProbeResult(worker, outcome, LoadReport.NONE));
  }

  private int probesOf(int worker) {
    return (int) harness.count("probe worker " + worker);
  }

  @Test
  void sendsNoProbeWhileListIsConfirmed() {
    serveOnceWhileConfirmed();
    harness.at(900, events -> harness.requestArrives(events, 1, 0));

    assertThat(harness.sentTo(1)).isEqualTo(primary);
    assertThat(harness.count("probe")).isZero();
  }

  @Test
  void probesWorkerBeforeAttemptOnceListIsUnconfirmed() {
    serveOnceWhileConfirmed();
    harness.at(1200, events -> harness.requestArrives(events, 1, 0));
    assertThat(harness.sentTo(1))
        .as("worker of the request before the reply to the probe")
        .isEqualTo(-1);
    assertThat(probesOf(primary)).isEqualTo(1);

    harness.at(1203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED));

    assertThat(harness.sentTo(1)).isEqualTo(primary);
    assertThat(harness.trace()).contains("1203 limit worker " + primary + " to 1700 ms");
  }

  /** The lease lasts for the drain grace period from the time at which the attempt was sent. */
  @Test
  void successRenewsLeaseForDrainGrace() {
    serveOnceWhileConfirmed();
    harness
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .at(1253, events -> harness.attemptEnds(events, succeeded(1, primary).withDuration(50)))
        .at(1690, events -> harness.requestArrives(events, 2, 0));
    assertThat(harness.sentTo(2))
        .as("worker of a request within the drain grace period")
        .isEqualTo(primary);

    harness.at(1704, events -> harness.requestArrives(events, 3, 0));

    assertThat(harness.sentTo(3))
        .as("worker of a request after the drain grace period")
        .isEqualTo(-1);
    assertThat(probesOf(primary)).isEqualTo(2);
  }

  @ParameterizedTest
  @EnumSource(names = {"FAILED", "CONNECT_FAILED", "CONNECTION_LOST", "TIMED_OUT"})
  void skipsWorkerWhoseProbeDoesNotSucceed(AttemptOutcome outcome) {
    serveOnceWhileConfirmed();
    harness
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, outcome));

    assertThat(harness.attemptsOf(1)).isZero();
    for (int worker = 0; worker < WORKERS; worker++) {
      assertThat(probesOf(worker)).as("probes of worker %d", worker).isLessThanOrEqualTo(1);
    }
    assertThat(harness.count("probe")).as("probes, including one of another worker").isEqualTo(2);
  }

  /** A request does not wait for the whole probe timeout of a hung worker. */
  @Test
  void skipsWorkerThatDoesNotReplyInTime() {
    serveOnceWhileConfirmed();
    harness.at(1200, events -> harness.requestArrives(events, 1, 0)).until(1260);

    assertThat(harness.count("probe")).isGreaterThan(1);
  }

  @Test
  void probesDrainingWorkerOnceASecondAndThenPresumesRestart() {
    serveOnceWhileConfirmed();
    harness
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, AttemptOutcome.FAILED))
        .at(1900, events -> harness.requestArrives(events, 2, 0));
    assertThat(probesOf(primary)).isEqualTo(1);
    harness.at(2300, events -> harness.requestArrives(events, 3, 0));
    assertThat(probesOf(primary)).isEqualTo(2);

    harness
        .at(2303, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .at(2310, events -> harness.requestArrives(events, 4, 0));

    assertThat(harness.sentTo(4))
        .as("worker of the request, since the new process has no replica")
        .isNotEqualTo(primary);
  }

  @Test
  void rejectionEndsLease() {
    serveOnceWhileConfirmed();
    harness
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .at(1204, events -> harness.attemptEnds(events, rejected(1, primary).withDuration(1)))
        .at(1210, events -> harness.requestArrives(events, 2, 0));

    assertThat(harness.sentTo(2)).isEqualTo(-1);
    assertThat(probesOf(primary)).isEqualTo(2);
  }

  /** The success of an attempt that was sent before a worker reported its drain grants no lease. */
  @Test
  void lateSuccessOfEarlierAttemptGrantsNoLease() {
    serveOnceWhileConfirmed();
    harness
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .at(1710, events -> harness.requestArrives(events, 2, 0))
        .at(1713, events -> probeEnds(events, primary, AttemptOutcome.FAILED))
        .at(1720, events -> harness.attemptEnds(events, succeeded(1, primary).withDuration(517)))
        .at(1730, events -> harness.requestArrives(events, 3, 0));

    assertThat(harness.sentTo(3)).isEqualTo(-1);
  }

  @Test
  void loadCommandRequiresLease() {
    serveOnceWhileConfirmed();
    harness
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .at(1204, events -> harness.requestArrives(events, 2, 0))
        .at(1206, events -> harness.attemptEnds(events, rejected(2, primary).withDuration(2)))
        .at(1208, events -> harness.attemptEnds(events, notLoaded(1, primary).withDuration(5)));
    assertThat(harness.count("load"))
        .as("load commands after the rejection has ended the lease")
        .isZero();
    assertThat(probesOf(primary)).isEqualTo(2);

    harness.at(1210, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED)).until(1250);

    assertThat(harness.count("load function 0 at worker " + primary)).isEqualTo(1);
  }

  /**
   * The process may be new, cold and without replicas, and its start missing from the endpoint
   * list.
   */
  @Test
  void presumesRestartOfReconnectedWorker() {
    serveOnceWhileConfirmed();
    harness
        .at(2100, events -> events.workerReconnected(primary))
        .at(2200, events -> harness.requestArrives(events, 1, 0))
        .at(2203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .until(2300);
    assertThat(harness.sentTo(1))
        .as("worker of the request, since the restarted one has no replica")
        .isNotEqualTo(primary);
  }

  /** An interruption of the event stream that ends at once cannot hide the start of a process. */
  @Test
  void doesNotPresumeRestartForReconnectionInShortOutage() {
    serveOnceWhileConfirmed();
    harness
        .at(1100, events -> events.workerReconnected(primary))
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED));

    assertThat(harness.sentTo(1)).isEqualTo(primary);
  }

  /**
   * The list became unconfirmed before it would have reported a restart, so a restart is presumed.
   */
  @Test
  void presumesRestartOfWorkerReconnectedShortlyBeforeListIsUnconfirmed() {
    serveOnceWhileConfirmed();
    harness
        .at(700, events -> events.workerReconnected(primary))
        .until(2150)
        .at(2200, events -> harness.requestArrives(events, 1, 0))
        .at(2203, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .until(2300);
    assertThat(harness.sentTo(1))
        .as("worker of the request, since the restarted one has no replica")
        .isNotEqualTo(primary);
  }

  @Test
  void doesNotPresumeRestartForReconnectionWhileListIsConfirmed() {
    serveOnceWhileConfirmed();
    harness
        .at(100, events -> events.workerReconnected(primary))
        .at(200, events -> harness.requestArrives(events, 1, 0));

    assertThat(harness.sentTo(1)).isEqualTo(primary);
  }

  /** If the list confirms a presumed restart, the replicas found since then stay known. */
  @Test
  void listedStartOfRestartedWorkerKeepsItsReplicas() {
    serveOnceWhileConfirmed();
    harness
        .until(1980)
        .at(1990, events -> harness.requestArrives(events, 5, 0))
        .at(1993, events -> probeEnds(events, primary, AttemptOutcome.SUCCEEDED))
        .at(2100, events -> events.workerReconnected(primary))
        .at(2102, events -> harness.attemptEnds(events, succeeded(5, primary).withDuration(109)))
        .at(
            2200,
            events -> {
              Duration listedStart = millis(2050);
              change(events, primary, WorkerState.READY, listedStart);
              events.endpointListConfirmedUntil(millis(100_000));
            })
        .at(3500, events -> harness.requestArrives(events, 1, 0));

    assertThat(harness.count("load"))
        .as("load commands, since the replica is known to be loaded")
        .isZero();
  }

  /** If the list is confirmed again and does not report a presumed restart, slow start ends. */
  @Test
  void withdrawsPresumedRestartThatConfirmedListDoesNotReport() {
    serveOnceWhileConfirmed();
    harness
        .at(2100, events -> events.workerReconnected(primary))
        .at(2200, events -> events.endpointListConfirmedUntil(millis(100_000)))
        .until(7200)
        .at(7210, events -> harness.requestArrives(events, 1, 0))
        .at(7220, events -> TestEvents.replicaLoaded(events, primary, 0, 10))
        .until(7300);
    long sentBefore = harness.workersSentTo().size();
    for (int request = 2; request < 22; request++) {
      int requestIndex = request;
      harness.at(7300 + request, events -> harness.requestArrives(events, requestIndex, 0));
    }

    assertThat(harness.workersSentTo().size() - sentBefore)
        .as("requests sent without the limits of slow start")
        .isGreaterThan(3);
  }

  @Test
  void requiresNoLeaseOnceListIsConfirmedAgain() {
    serveOnceWhileConfirmed();
    harness
        .at(1200, events -> harness.requestArrives(events, 1, 0))
        .at(1203, events -> probeEnds(events, primary, AttemptOutcome.FAILED))
        .at(1300, events -> events.endpointListConfirmedUntil(millis(5000)))
        .at(1310, events -> harness.requestArrives(events, 2, 0));

    assertThat(harness.sentTo(2)).isEqualTo(primary);
  }

  /** Without probes there are no leases, so a worker is used until it rejects an attempt. */
  @Test
  void usesWorkerWithoutProbesUntilItRejects() {
    TestSettings withoutProbes =
        new TestSettings() {
          @Override
          public boolean probesAllowed() {
            return false;
          }
        };
    harness = new PolicyHarness(withoutProbes);
    harness
        .at(
            0,
            events -> {
              list(events, WORKERS);
              events.endpointListConfirmedUntil(Duration.ZERO);
            })
        .at(10, events -> harness.requestArrives(events, 0, 0));
    primary = harness.sentTo(0);
    assertThat(primary).isNotNegative();

    harness
        .at(11, events -> harness.attemptEnds(events, rejected(0, primary).withDuration(1)))
        .at(20, events -> harness.requestArrives(events, 1, 0));

    assertThat(harness.sentTo(1)).isNotEqualTo(primary);
    assertThat(harness.count("probe")).isZero();
  }
}
