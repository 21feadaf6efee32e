package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.change;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.loadFailed;
import static switchgap.policy.TestEvents.replicaLoaded;

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
  @Test
  void loadsReplicaAfterMissAndRetriesRequestOnceLoaded() throws IOException {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness
        .at(12, events -> harness.attemptEnds(events, notLoaded(0, primary).withDuration(2)))
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
                    events,
                    succeeded(0, primary).withNumber(1).withDuration(80).withConcurrency(0)));
    harness.assertTrace("miss");
  }

  /** With many routers, another one may have loaded the replica already. */
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
                harness.attemptEnds(
                    events, succeeded(0, primary).withDuration(80).withConcurrency(8)))
        .until(1900)
        .at(1950, events -> harness.requestArrives(events, 1, 0))
        .until(2100);
    assertThat(harness.count("query function 0")).isEqualTo(1);
    assertThat(harness.count("load function 0")).isZero();
  }

  /**
   * A worker may drain before the endpoint list reports it, and each load command uses up quota.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 100})
  void doesNotRepeatRejectedLoadCommandWithinOneSecond(int routers) {
    TestSettings settings = new TestSettings();
    settings.routerCount = routers;
    PolicyHarness harness = new PolicyHarness(settings);
    List<Integer> pendingWorkers = new ArrayList<>();
    List<Integer> commandedWorkers = new ArrayList<>();
    harness.onLoad(
        (worker, function) -> {
          pendingWorkers.add(worker);
          commandedWorkers.add(worker);
        });
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(
            20,
            events ->
                harness.attemptEnds(
                    events, notLoaded(0, harness.sentTo(0)).withDuration(2).withConcurrency(0)));
    for (int time = 30; time < 900; time += 10) {
      List<Integer> rejectingWorkers = List.copyOf(pendingWorkers);
      pendingWorkers.clear();
      harness.at(
          time,
          events ->
              rejectingWorkers.forEach(
                  worker -> loadFailed(events, worker, 0, AttemptOutcome.REJECTED)));
      if (harness.sentTo(0) >= 0 && harness.attemptsOf(0) == 2) {
        harness.at(
            time,
            events ->
                harness.attemptEnds(
                    events,
                    notLoaded(0, harness.sentTo(0))
                        .withNumber(1)
                        .withDuration(2)
                        .withConcurrency(0)));
      }
    }
    // Each worker gets at most one load command within the second.
    assertThat(commandedWorkers).isNotEmpty().doesNotHaveDuplicates();
    // Other workers are tried as well, with many routers by a replica query.
    assertThat(commandedWorkers.size() + harness.count("query")).isGreaterThan(1);
  }

  /**
   * A replica beyond the target may already be loaded at a worker that is still warming up. For
   * these functions the first worker in hash order is the warm one.
   */
  @ParameterizedTest
  @ValueSource(ints = {7, 10, 24})
  void doesNotReloadReplicaAtWorkerInSlowStart(int function) {
    TestSettings settings = new TestSettings();
    settings.routerCount = 100;
    settings.routerIndex = 50; // its turn in the rotation comes after the end of this test
    PolicyHarness harness = new PolicyHarness(settings);
    List<Integer> pendingWorkers = new ArrayList<>();
    int[] commandCount = {0};
    harness.onLoad(
        (worker, loaded) -> {
          pendingWorkers.add(worker);
          commandCount[0]++;
        });
    harness
        .at(1000, events -> list(events, 1))
        .at(1010, events -> harness.requestArrives(events, 0, function))
        .at(
            1020,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, harness.sentTo(0)).withDuration(10).withConcurrency(0)));
    harness.at(
        1030,
        events -> {
          // Two more workers, which are warming up.
          change(events, 1, WorkerState.READY, millis(1030));
          change(events, 2, WorkerState.READY, millis(1030));
        });
    for (int time = 1040; time < 3000; time += 10) {
      List<Integer> loadedWorkers = List.copyOf(pendingWorkers);
      pendingWorkers.clear();
      int request = time;
      harness.at(
          time,
          events -> {
            loadedWorkers.forEach(worker -> replicaLoaded(events, worker, function, 2));
            // The requests exceed the capacity of the one warm worker.
            harness.requestArrives(events, request, function);
          });
    }
    assertThat(commandCount[0]).isBetween(1, 2);
  }
}
