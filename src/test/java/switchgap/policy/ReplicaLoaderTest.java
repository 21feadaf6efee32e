package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.PolicyHarness.change;
import static switchgap.policy.PolicyHarness.list;
import static switchgap.policy.PolicyHarness.loadFailed;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.PolicyHarness.replicaLoaded;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.WorkerState;

/** Load commands and replica queries. */
class ReplicaLoaderTest {
  private record PendingLoad(int endsAt, int worker, int function) {}

  @Test
  void loadsReplicaAfterMissAndRetriesRequestOnceLoaded() throws IOException {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness
        .at(12, events -> harness.attemptEnds(events, notLoaded(0, primary).after(2)))
        .at(
            15,
            events ->
                events.loadCommandEnded(
                    new LoadCommandResult(
                        (primary + 1) % 3, 0, AttemptOutcome.SUCCEEDED, millis(3), 0)))
        .at(300, events -> replicaLoaded(events, primary, 0, 288))
        .at(
            380,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, primary).number(1).after(80).withConcurrency(0)));
    harness.assertTrace("miss");
  }

  /** Another router may have loaded it already. */
  @Test
  void queriesReplicaBeforeLoadingItWithManyRouters() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 200;
    settings.loadsOnDemand = true;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness
        .at(
            90,
            events ->
                harness.attemptEnds(events, succeeded(0, primary).after(80).withConcurrency(8)))
        .until(1900)
        .at(1950, events -> harness.requestArrives(events, 1, 0))
        .until(2100);
    assertThat(harness.count("query function 0")).isEqualTo(1);
    assertThat(harness.count("load function 0")).isZero();
  }

  /**
   * The limit begins at three loads here; it rises while loads are quick and falls to one when they
   * are slow.
   */
  @Test
  void adaptsPendingLoadsToPaceOfStore() {
    for (int loadMillis : new int[] {100, 4000}) {
      PolicyHarness harness = new PolicyHarness(new TestSettings());
      List<PendingLoad> pending = new ArrayList<>();
      int[] now = {0};
      harness.onLoad(
          (worker, function) ->
              pending.add(new PendingLoad(now[0] + loadMillis, worker, function)));
      harness.at(0, events -> list(events, 4));
      int max = 0;
      int lastMax = 0;
      for (int i = 0; i < 3000; i++) {
        now[0] = 10 + 10 * i;
        int function = i;
        harness.at(
            now[0],
            events -> {
              harness.requestArrives(events, function, function);
              for (PendingLoad load : List.copyOf(pending)) {
                if (load.endsAt() <= now[0] && pending.remove(load)) {
                  replicaLoaded(events, load.worker(), load.function(), loadMillis);
                }
              }
            });
        int worker = harness.sentTo(function);
        if (worker >= 0) {
          harness.at(
              now[0] + 2,
              events ->
                  harness.attemptEnds(
                      events,
                      notLoaded(function, worker)
                          .number(harness.attemptsOf(function) - 1)
                          .after(2)));
        }
        max = Math.max(max, pending.size());
        lastMax = i > 2000 ? Math.max(lastMax, pending.size()) : lastMax;
        if (i == 8) {
          assertThat(pending.size()).as("to begin with").isEqualTo(3);
        }
      }
      if (loadMillis == 100) {
        assertThat(max).isGreaterThan(5);
      } else {
        assertThat(lastMax).isEqualTo(1);
      }
    }
  }

  /**
   * Concurrent load commands for ten new functions, after loads of functions that do not exist
   * failed.
   */
  private static long loadCommandsAfterFailures(int failures) {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    List<PendingLoad> loads = new ArrayList<>();
    harness.onLoad((worker, function) -> loads.add(new PendingLoad(0, worker, function)));
    harness.at(0, events -> list(events, 8));
    for (int i = 0; i < failures; i++) {
      int request = i;
      harness.at(10 + 10 * i, events -> harness.requestArrives(events, request, 100 + request));
      harness.at(
          12 + 10 * i,
          events ->
              harness.attemptEnds(events, notLoaded(request, harness.sentTo(request)).after(2)));
      PendingLoad load = loads.remove(0);
      harness.at(
          14 + 10 * i,
          events -> {
            loadFailed(events, load.worker(), load.function(), AttemptOutcome.FAILED);
            events.clientLeft(request);
          });
      loads.forEach(
          other ->
              harness.at(
                  15,
                  events ->
                      loadFailed(events, other.worker(), other.function(), AttemptOutcome.FAILED)));
      loads.clear();
    }
    for (int i = 0; i < 10; i++) {
      int request = 50 + i;
      harness.at(500, events -> harness.requestArrives(events, request, request));
      harness.at(
          502,
          events ->
              harness.attemptEnds(events, notLoaded(request, harness.sentTo(request)).after(2)));
    }
    return loads.size();
  }

  @Test
  void failedLoadsOfMissingFunctionsDoNotSlowOtherLoads() {
    assertThat(loadCommandsAfterFailures(0)).isGreaterThan(3);
    assertThat(loadCommandsAfterFailures(6)).isEqualTo(loadCommandsAfterFailures(0));
  }

  /** A worker may drain before the endpoint list says so; each load command has its price. */
  @ParameterizedTest
  @ValueSource(ints = {2, 100})
  void doesNotRepeatRejectedLoadCommandWithinOneSecond(int routers) {
    TestSettings settings = new TestSettings();
    settings.routerCount = routers;
    PolicyHarness harness = new PolicyHarness(settings);
    List<Integer> rejected = new ArrayList<>();
    List<Integer> all = new ArrayList<>();
    harness.onLoad(
        (worker, function) -> {
          rejected.add(worker);
          all.add(worker);
        });
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(
            20,
            events ->
                harness.attemptEnds(
                    events, notLoaded(0, harness.sentTo(0)).after(2).withConcurrency(0)));
    for (int time = 30; time < 900; time += 10) {
      List<Integer> now = List.copyOf(rejected);
      rejected.clear();
      harness.at(
          time,
          events -> now.forEach(worker -> loadFailed(events, worker, 0, AttemptOutcome.REJECTED)));
      if (harness.sentTo(0) >= 0 && harness.attemptsOf(0) == 2) {
        harness.at(
            time,
            events ->
                harness.attemptEnds(
                    events, notLoaded(0, harness.sentTo(0)).number(1).after(2).withConcurrency(0)));
      }
    }
    assertThat(all).isNotEmpty().doesNotHaveDuplicates(); // each worker once a second
    assertThat(all.size() + harness.count("query"))
        .isGreaterThan(1); // others are tried, with many routers by a query
  }

  /** Clients may retry requests of a function that does not exist at once. */
  @Test
  void loadsFunctionThatNeverLoadedOnlyOnceASecondAfterTwoFailures() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    List<Integer> pending = new ArrayList<>();
    int[] commands = {0};
    harness.onLoad(
        (worker, function) -> {
          pending.add(worker);
          commands[0]++;
        });
    harness.at(0, events -> list(events, 4));
    for (int time = 10; time < 3000; time += 10) {
      List<Integer> now = List.copyOf(pending);
      pending.clear();
      int request = time;
      harness.at(
          time,
          events -> {
            now.forEach(worker -> loadFailed(events, worker, 0, AttemptOutcome.FAILED));
            harness.requestArrives(events, request, 0);
          });
      if (harness.sentTo(request) >= 0) {
        harness.at(
            time,
            events ->
                harness.attemptEnds(
                    events,
                    notLoaded(request, harness.sentTo(request)).after(2).withConcurrency(0)));
      }
    }
    assertThat(commands[0]).isBetween(3, 2 + 4);
  }

  /** A replica past the target may be loaded while its worker is still warming up. */
  @ParameterizedTest
  @ValueSource(ints = {7, 10, 24}) // functions whose first worker in hash order is the warm one
  void doesNotReloadReplicaAtWorkerInSlowStart(int function) {
    TestSettings settings = new TestSettings();
    settings.routerCount = 100;
    settings.routerIndex = 50; // its slot of the rotation comes later
    PolicyHarness harness = new PolicyHarness(settings);
    List<Integer> pending = new ArrayList<>();
    int[] commands = {0};
    harness.onLoad(
        (worker, loaded) -> {
          pending.add(worker);
          commands[0]++;
        });
    harness
        .at(1000, events -> list(events, 1))
        .at(1010, events -> harness.requestArrives(events, 0, function))
        .at(
            1020,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, harness.sentTo(0)).after(10).withConcurrency(0)));
    harness.at(
        1030,
        events -> {
          change(events, 1, WorkerState.READY, millis(1030)); // warming up
          change(events, 2, WorkerState.READY, millis(1030));
        });
    for (int time = 1040; time < 3000; time += 10) {
      List<Integer> now = List.copyOf(pending);
      pending.clear();
      int request = time;
      harness.at(
          time,
          events -> {
            now.forEach(worker -> replicaLoaded(events, worker, function, 2));
            harness.requestArrives(
                events, request, function); // more than the one warm worker takes
          });
    }
    assertThat(commands[0]).isBetween(1, 2);
  }
}
