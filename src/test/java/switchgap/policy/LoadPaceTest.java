package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.loadFailed;
import static switchgap.policy.TestEvents.replicaLoaded;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;

/** Adaptation of the limit of load commands in flight to slow and failed loads. */
class LoadPaceTest {
  private record PendingLoad(int endsAtMillis, int worker, int function) {}

  /**
   * The initial limit is three loads: one plus four workers divided by two routers. It rises while
   * loads are quick and falls to one when they are slow.
   */
  @Test
  void adaptsLimitOfLoadsInFlightToLoadDuration() {
    for (int loadMillis : new int[] {100, 4000}) {
      PolicyHarness harness = new PolicyHarness(new TestSettings());
      List<PendingLoad> pending = new ArrayList<>();
      int[] nowMillis = {0};
      harness.onLoad(
          (worker, function) ->
              pending.add(new PendingLoad(nowMillis[0] + loadMillis, worker, function)));
      harness.at(0, events -> list(events, 4));
      int maxPending = 0;
      int finalMaxPending = 0;
      for (int i = 0; i < 3000; i++) {
        nowMillis[0] = 10 + 10 * i;
        int function = i;
        harness.at(
            nowMillis[0],
            events -> {
              harness.requestArrives(events, function, function);
              for (PendingLoad load : List.copyOf(pending)) {
                if (load.endsAtMillis() <= nowMillis[0] && pending.remove(load)) {
                  replicaLoaded(events, load.worker(), load.function(), loadMillis);
                }
              }
            });
        int worker = harness.sentTo(function);
        if (worker >= 0) {
          harness.at(
              nowMillis[0] + 2,
              events ->
                  harness.attemptEnds(
                      events,
                      notLoaded(function, worker)
                          .withNumber(harness.attemptsOf(function) - 1)
                          .withDuration(2)));
        }
        maxPending = Math.max(maxPending, pending.size());
        finalMaxPending = i > 2000 ? Math.max(finalMaxPending, pending.size()) : finalMaxPending;
        if (i == 8) {
          assertThat(pending.size()).as("loads in flight at the initial limit").isEqualTo(3);
        }
      }
      if (loadMillis == 100) {
        assertThat(maxPending).isGreaterThan(5);
      } else {
        assertThat(finalMaxPending).isEqualTo(1);
      }
    }
  }

  /**
   * Returns the number of concurrent load commands for ten new functions, after loads of functions
   * that do not exist have failed.
   */
  private static long loadCommandsAfterFailures(int failures) {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    List<PendingLoad> pendingLoads = new ArrayList<>();
    harness.onLoad((worker, function) -> pendingLoads.add(new PendingLoad(0, worker, function)));
    harness.at(0, events -> list(events, 8));
    for (int i = 0; i < failures; i++) {
      int request = i;
      harness.at(10 + 10 * i, events -> harness.requestArrives(events, request, 100 + request));
      harness.at(
          12 + 10 * i,
          events ->
              harness.attemptEnds(
                  events, notLoaded(request, harness.sentTo(request)).withDuration(2)));
      PendingLoad load = pendingLoads.remove(0);
      harness.at(
          14 + 10 * i,
          events -> {
            loadFailed(events, load.worker(), load.function(), AttemptOutcome.FAILED);
            events.clientDisconnected(request);
          });
      pendingLoads.forEach(
          other ->
              harness.at(
                  15,
                  events ->
                      loadFailed(events, other.worker(), other.function(), AttemptOutcome.FAILED)));
      pendingLoads.clear();
    }
    for (int i = 0; i < 10; i++) {
      int request = 50 + i;
      harness.at(500, events -> harness.requestArrives(events, request, request));
      harness.at(
          502,
          events ->
              harness.attemptEnds(
                  events, notLoaded(request, harness.sentTo(request)).withDuration(2)));
    }
    return pendingLoads.size();
  }

  @Test
  void failedLoadsOfMissingFunctionsDoNotLimitOtherLoads() {
    assertThat(loadCommandsAfterFailures(0)).isGreaterThan(3);
    assertThat(loadCommandsAfterFailures(6)).isEqualTo(loadCommandsAfterFailures(0));
  }

  /** Clients may immediately retry requests for a function that does not exist. */
  @Test
  void retriesFailingLoadOnlyOnceASecondAfterTwoFailures() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    List<Integer> pendingWorkers = new ArrayList<>();
    int[] commandCount = {0};
    harness.onLoad(
        (worker, function) -> {
          pendingWorkers.add(worker);
          commandCount[0]++;
        });
    harness.at(0, events -> list(events, 4));
    for (int time = 10; time < 3000; time += 10) {
      List<Integer> failingWorkers = List.copyOf(pendingWorkers);
      pendingWorkers.clear();
      int request = time;
      harness.at(
          time,
          events -> {
            failingWorkers.forEach(worker -> loadFailed(events, worker, 0, AttemptOutcome.FAILED));
            harness.requestArrives(events, request, 0);
          });
      if (harness.sentTo(request) >= 0) {
        harness.at(
            time,
            events ->
                harness.attemptEnds(
                    events,
                    notLoaded(request, harness.sentTo(request))
                        .withDuration(2)
                        .withConcurrency(0)));
      }
    }
    assertThat(commandCount[0]).isBetween(3, 2 + 4);
  }
}
