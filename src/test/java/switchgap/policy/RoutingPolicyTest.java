package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.change;
import static switchgap.policy.PolicyHarness.list;
import static switchgap.policy.PolicyHarness.ms;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.WorkerState;

/** Traces of decisions against those kept beside this file's resources, which people read. */
class RoutingPolicyTest {
  private static void same(String name, PolicyHarness harness) throws IOException {
    assertThat(harness.trace()).isEqualTo(PolicyHarness.keptTrace(name));
  }

  /**
   * One job at home, one execution that errs there; what then happens depends on the kind of
   * workload.
   */
  private static PolicyHarness erring(Idempotency repeat, DeduplicationScope group) {
    return erring(repeat, group, 0);
  }

  private static PolicyHarness erring(Idempotency repeat, DeduplicationScope group, int function) {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.idempotency = repeat;
    settings.deduplicationScope = group;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, function));
    int home = home(harness);
    return harness
        .at(60, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.FAILED, 50, -1))
        .until(2100);
  }

  private static int home(PolicyHarness harness) {
    String line = harness.trace().lines().filter(l -> l.contains("send")).findFirst().orElseThrow();
    return worker(line);
  }

  private static int worker(String line) {
    return line.charAt(line.indexOf("worker ") + 7) - '0';
  }

  /** Where the last order to hold function 0 went. */
  private static int held(PolicyHarness harness) {
    return Integer.parseInt(
        harness.trace().replaceAll("(?s).*hold function 0 at worker (\\d).*", "$1"));
  }

  @Test
  void restartableRunsAgainElsewhere() throws IOException {
    same("restartable", erring(Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
  }

  @Test
  void runOnceIsKilledAfterAnErrorAndNeverPushedBack() throws IOException {
    same("run-once", erring(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
  }

  @Test
  void fingerprintedStaysInItsGroup() throws IOException {
    same("fingerprinted-zone", erring(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE));
    for (int function = 1;
        function < 8;
        function++) { // the helper's zones are a worker's number modulo 2
      assertThat(
              erring(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, function)
                  .trace()
                  .lines()
                  .filter(line -> line.contains("send"))
                  .map(line -> worker(line) % 2)
                  .distinct())
          .hasSize(1);
    }
  }

  @Test
  void fingerprintedIsNotRepeatedPastItsMemorySpan() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness
        .at(
            1050,
            events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.FAILED, 1040, -1))
        .until(2100);
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("push back") + harness.count("kill")).isEqualTo(1);
  }

  /**
   * Of 1,000 ms less two ticks, whichever execution it was that ended: 980 ms on it may be
   * repeated, 994 ms on no more.
   */
  @Test
  void theMemorySpanCountsFromTheFirstExecutionThatMayHaveRun() {
    for (int[] ends : new int[][] {{980, 2}, {994, 1}, {500, 980, 3}, {500, 994, 2}}) {
      PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
      settings.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
      PolicyHarness harness = new PolicyHarness(settings);
      harness
          .at(0, events -> list(events, 4))
          .at(10, events -> harness.requestArrives(events, 0, 0));
      for (int i = 0; i < ends.length - 1; i++) {
        int x = i;
        int at = harness.sentTo(0);
        harness.at(
            10 + ends[i],
            events -> harness.attemptEnds(events, 0, x, at, AttemptOutcome.FAILED, 50, -1));
      }
      assertThat(harness.count("send"))
          .as(java.util.Arrays.toString(ends))
          .isEqualTo(ends[ends.length - 1]);
    }
  }

  @Test
  void eachJobGetsOneAnswerBeforeItsLimit() throws IOException {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness
        .at(12, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.NOT_LOADED, 2, -1))
        .until(2500);
    same("answered-in-time", harness);
  }

  @Test
  void aMissOrdersACopyAndTheJobFollowsTheLoad() throws IOException {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness
        .at(12, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.NOT_LOADED, 2, -1))
        .at(
            15,
            events ->
                events.loadCommandEnded(
                    new LoadCommandResult((home + 1) % 3, 0, AttemptOutcome.SUCCEEDED, ms(3), 0)))
        .at(
            300,
            events ->
                events.loadCommandEnded(
                    new LoadCommandResult(home, 0, AttemptOutcome.SUCCEEDED, ms(288), 1)))
        .at(
            380,
            events -> harness.attemptEnds(events, 0, 1, home, AttemptOutcome.SUCCEEDED, 80, 0));
    same("miss", harness);
  }

  @Test
  void nothingNewToADrainingWorkerFromTheRoundThatTellsOfIt() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness.at(
        100, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 90, 0));
    harness
        .at(
            110,
            events -> {
              change(events, home, WorkerState.DRAINING, null);
              harness.requestArrives(events, 1, 0);
            })
        .until(1500);
    assertThat(
            harness
                .trace()
                .lines()
                .filter(
                    line ->
                        line.endsWith("at worker " + home)
                            || line.contains("worker " + home + " ")))
        .allMatch(line -> Integer.parseInt(line.split(" ")[0]) < 110);
    assertThat(harness.count("send")).isGreaterThan(1);
  }

  /** All routers share one budget: misses, which come back at once, count like any send. */
  @Test
  void aColdWorkerIsNotPushedOver() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.loadsOnDemand = true;
    settings.routerCount = 4;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(
        1000,
        events -> {
          events.endpointListStarted(true);
          events.endpointListed(
              new EndpointEntry(0, 1000, WorkerState.READY, 0, 0, 0, 1, ms(1000)));
          events.endpointListEnded();
        });
    for (int i = 0; i < 50; i++) {
      int job = i;
      harness.at(1010 + 20 * i, events -> harness.requestArrives(events, job, 0));
    }
    // Four routers; a warm worker bears ten jobs a second at the least: 2 x 0.2 x 10 / 4 is one job
    // a second.
    assertThat(harness.count("send")).isBetween(1L, 2L);
  }

  @Test
  void loadOrdersStayWithinTheRation() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.loadQuotaBase = 2;
    settings.loadQuotaPerRequest = 0.25;
    settings.loadQuotaWindow = ms(5000);
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 12; i++) {
      int job = i;
      harness.at(10 + 50 * i, events -> harness.requestArrives(events, job, job));
      String last =
          harness
              .trace()
              .lines()
              .filter(line -> line.contains("send job " + job + " "))
              .findFirst()
              .orElse(null);
      if (last != null) {
        int worker = worker(last);
        harness.at(
            15 + 50 * i,
            events ->
                harness.attemptEnds(events, job, 0, worker, AttemptOutcome.NOT_LOADED, 2, -1));
        harness.at(
            20 + 50 * i,
            events ->
                events.loadCommandEnded(
                    new LoadCommandResult(worker, job, AttemptOutcome.SUCCEEDED, ms(5), 1)));
      }
      assertThat((double) harness.count("hold")).isLessThanOrEqualTo(2 + 0.25 * (i + 1));
    }
    assertThat(harness.count("hold")).isGreaterThan(2);
  }

  /**
   * k rises with the crowd at the copies and falls, with a drop only where idle memory is priced.
   */
  @Test
  void targetRisesAndFalls() throws IOException {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.idleMemoryPrice = 0.05;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 6; i++) {
      int job = i;
      harness.at(10 + 150 * i, events -> harness.requestArrives(events, job, 0));
      int home = home(harness);
      harness.at(
          90 + 150 * i,
          events -> harness.attemptEnds(events, job, 0, home, AttemptOutcome.SUCCEEDED, 80, 3));
    }
    harness.until(1100);
    int next = held(harness);
    harness.at(
        1300,
        events ->
            events.loadCommandEnded(
                new LoadCommandResult(next, 0, AttemptOutcome.SUCCEEDED, ms(200), 1)));
    harness.until(17_500);
    same("target", harness);
  }

  /** Past the bound at home a job goes on along the hash order, to a copy that stands. */
  @Test
  void overflowGoesOnward() throws IOException {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness.at(
        90, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 0));
    harness.at(
        100,
        events -> {
          for (int j = 1; j < 9; j++) {
            harness.requestArrives(events, j, 0);
          }
        });
    int next = held(harness);
    harness.at(
        300,
        events ->
            events.loadCommandEnded(
                new LoadCommandResult(next, 0, AttemptOutcome.SUCCEEDED, ms(200), 1)));
    same("overflow", harness);
  }

  @Test
  void aRestartedRouterSendsFromItsCachedListAlone() throws IOException {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.loadsOnDemand = true;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(
        0,
        events -> {
          list(events, 3);
          for (int j = 0; j < 8; j++) {
            harness.requestArrives(events, j, 0);
          }
        });
    same("restart", harness);
  }

  @Test
  void goneWorkersAndOneOffFunctionsAreForgotten() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness.at(
        90, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 0));
    harness.at(100, events -> change(events, home, WorkerState.GONE, null)).until(1100);
    int next = held(harness);
    harness
        .at(
            1200,
            events ->
                events.loadCommandEnded(
                    new LoadCommandResult(next, 0, AttemptOutcome.SUCCEEDED, ms(200), 1)))
        .until(31_000);
    assertThat(harness.trace())
        .contains("forget job 0", "forget worker " + home, "forget function 0");
  }

  @Test
  void sameEventsSameDecisions() {
    assertThat(erring(Idempotency.IDEMPOTENT, DeduplicationScope.ALL).trace())
        .isEqualTo(erring(Idempotency.IDEMPOTENT, DeduplicationScope.ALL).trace());
  }

  /**
   * Clients that give up before the work can be done, and try again, filled every worker for
   * nothing.
   */
  @Test
  void aJobThatCannotBeAnsweredInTimeIsPushedBackOnArrival() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness
        .at(0, events -> list(events, 3))
        .at(10, events -> harness.requestArrives(events, 0, 0, 90));
    assertThat(harness.count("push back job 0")).isEqualTo(1);
    assertThat(harness.count("send")).isZero();
  }

  /**
   * Fast failures look idle: after two errors the worker's functions move on, until one job retests
   * it.
   */
  @Test
  void aWorkerThatErrsIsShunnedAndRetested() throws IOException {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 5; i++) {
      int job = i;
      harness.at(10 + 300 * i, events -> harness.requestArrives(events, job, 0));
      String sent =
          harness
              .trace()
              .lines()
              .filter(line -> line.contains("send job " + job))
              .findFirst()
              .orElseThrow();
      int at = worker(sent);
      boolean errs = at == home(harness) && i < 2;
      harness.at(
          15 + 300 * i,
          events ->
              harness.attemptEnds(
                  events,
                  job,
                  0,
                  at,
                  errs ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED,
                  5,
                  0));
      harness.at(
          40 + 300 * i,
          events -> {
            if (errs) {
              int other =
                  Integer.parseInt(
                      harness.trace().strip().replaceAll("(?s).*to worker (\\d).*", "$1"));
              harness.attemptEnds(events, job, 1, other, AttemptOutcome.SUCCEEDED, 20, 0);
            }
          });
    }
    same("shunned", harness);
  }

  /** A full worker counts as twice what it may hold: the next job goes to another of the copies. */
  @Test
  void aFullWorkerIsPassedOver() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = harness.sentTo(0);
    harness
        .at(90, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 8))
        .until(1100); // k rises to two
    harness.at(1110, events -> harness.requestArrives(events, 1, 0)).until(1200);
    int full = harness.sentTo(1);
    harness.at(
        1210, events -> harness.attemptEnds(events, 1, 0, full, AttemptOutcome.REJECTED, 2, 5));
    assertThat(harness.sentTo(1)).isNotEqualTo(full);
    harness.at(1220, events -> harness.requestArrives(events, 2, 0)).until(1260);
    assertThat(harness.sentTo(2)).isNotEqualTo(full);
  }

  /**
   * Of 200 routers each hears of a function seldom: k stuck at one, and the first copy took all
   * first jobs.
   */
  @Test
  void atSizeOneAnswerRaisesTheTargetAndChanceSpreadsTheJobs() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness.at(
        90, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 8));
    for (int i = 1; i < 9; i++) {
      int job = i;
      harness.at(3000 + 500 * i, events -> harness.requestArrives(events, job, 0));
    }
    assertThat(
            harness
                .trace()
                .lines()
                .filter(line -> line.contains("send"))
                .map(RoutingPolicyTest::worker)
                .distinct()
                .count())
        .isGreaterThan(1);
  }

  /**
   * A failed question had ended all questions at that router, and shunned a worker that was only
   * busy.
   */
  @Test
  void aProbeThatTimesOutDoesNotShun() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness.at(
        90, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 0));
    harness.at(
        100,
        events ->
            events.probeEnded(new ProbeResult(home, AttemptOutcome.TIMED_OUT, LoadReport.NONE)));
    harness.at(110, events -> harness.requestArrives(events, 1, 0));
    assertThat(harness.trace()).contains("110 send job 1 to worker " + home);
  }

  /**
   * What waits for a load is not waiting for cores; a copy that others loaded needs no order of
   * ours.
   */
  @Test
  void atSizeACopyIsAskedForBeforeItIsOrdered() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = 200;
    settings.loadsOnDemand = true;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness
        .at(90, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 8))
        .until(1900)
        .at(1950, events -> harness.requestArrives(events, 1, 0))
        .until(2100);
    assertThat(harness.count("ask function 0")).isEqualTo(1);
    assertThat(harness.count("hold function 0")).isZero();
  }

  /**
   * After a pause of the router a copy stands, but there is no time left to hear of an execution.
   */
  @Test
  void withinTheMarginOfItsLimitAJobIsNotSentAnyMore() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness
        .at(0, events -> list(events, 1))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(12, events -> harness.attemptEnds(events, 0, 0, 0, AttemptOutcome.NOT_LOADED, 2, -1));
    harness.at(
        2003,
        events ->
            events.loadCommandEnded(
                new LoadCommandResult(
                    0,
                    0,
                    AttemptOutcome.SUCCEEDED,
                    ms(1990),
                    1))); // its limit is 2010, the margin two ticks of 5
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("push back job 0")).isEqualTo(1);
  }

  /**
   * A function's requests meet on few workers, the same from all routers, whatever their numbers
   * and seeds.
   */
  @Test
  void allRoutersHaveTheSameHashOrder() {
    for (int function = 0; function < 30; function++) {
      int of = function;
      List<Integer> first = new ArrayList<>();
      for (int routerIndex = 0; routerIndex < 4; routerIndex++) {
        PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
        settings.routerIndex = routerIndex;
        settings.routerCount = 4;
        PolicyHarness harness = new PolicyHarness(settings);
        harness
            .at(0, events -> list(events, 9))
            .at(10, events -> harness.requestArrives(events, 0, of));
        first.add(harness.sentTo(0));
      }
      assertThat(first).containsOnly(first.get(0));
    }
  }

  /**
   * The gap: between the marks k stays as it is; under the unload mark it falls after a keep-alive,
   * and one copy stays.
   */
  @Test
  void betweenTheMarksTheTargetStays() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 4));
    int[] after = new int[3];
    for (int i = 0; i < 2400; i++) {
      int time = 20 + 40 * i;
      int j = i % 50;
      int phase = i < 100 ? 0 : i < 1300 ? 1 : 2; // 4 s crowded, 48 s at 0.2 of a lane, 44 s idle
      int crowd = phase == 0 ? 3 : phase == 1 && i % 4 == 0 ? 1 : 0;
      harness.at(time, events -> harness.requestArrives(events, j, 0));
      if (harness.sentTo(j) >= 0) {
        harness.at(
            time + 30,
            events ->
                harness.attemptEnds(
                    events, j, 0, harness.sentTo(j), AttemptOutcome.SUCCEEDED, 30, crowd));
      }
      after[phase] = harness.targetReplicas(0);
    }
    assertThat(after).containsExactly(2, 2, 1);
  }

  /**
   * However crowded its copies are told to be: k ends at half of the ready workers, and at what
   * their memory holds.
   */
  @Test
  void theTargetEndsAtHalfOfTheWorkersAndAtTheirMemory() {
    for (int size : new int[] {100, 9000}) {
      PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
      harness.at(0, events -> list(events, 6));
      for (int i = 0; i < 2000; i++) {
        int time = 20 + 40 * i;
        int j = i % 50;
        harness.at(
            time,
            events ->
                events.requestArrived(
                    new RequestArrival(j, 0, 0, 0, 50, ms(time + 2000), null, size, 2)));
        if (harness.sentTo(j) >= 0) {
          harness.at(
              time + 30,
              events ->
                  harness.attemptEnds(
                      events, j, 0, harness.sentTo(j), AttemptOutcome.SUCCEEDED, 30, 30));
        }
      }
      assertThat(harness.targetReplicas(0))
          .isEqualTo(size == 100 ? 3 : 1); // six workers of 4,000 MB, half of them for copies
    }
  }

  /**
   * The client has the execution now: no limit, no pushback, no further execution, until its end
   * comes.
   */
  /**
   * Orders out at a time for ten new functions, after {@code failed} orders for functions of nobody
   * ended in an error.
   */
  private static long ordersAfter(int failed) {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    List<int[]> orders = new ArrayList<>();
    harness.onLoad = (worker, function) -> orders.add(new int[] {worker, function});
    harness.at(0, events -> list(events, 8));
    for (int i = 0; i < failed; i++) {
      int job = i;
      harness.at(10 + 10 * i, events -> harness.requestArrives(events, job, 100 + job));
      harness.at(
          12 + 10 * i,
          events ->
              harness.attemptEnds(
                  events, job, 0, harness.sentTo(job), AttemptOutcome.NOT_LOADED, 2, -1));
      int[] o = orders.remove(0);
      harness.at(
          14 + 10 * i,
          events -> {
            events.loadCommandEnded(
                new LoadCommandResult(o[0], o[1], AttemptOutcome.FAILED, ms(1), 0));
            events.clientLeft(job);
          });
      orders.forEach(
          x ->
              harness.at(
                  15,
                  events ->
                      events.loadCommandEnded(
                          new LoadCommandResult(x[0], x[1], AttemptOutcome.FAILED, ms(1), 0))));
      orders.clear();
    }
    for (int i = 0; i < 10; i++) {
      int job = 50 + i;
      harness.at(500, events -> harness.requestArrives(events, job, job));
      harness.at(
          502,
          events ->
              harness.attemptEnds(
                  events, job, 0, harness.sentTo(job), AttemptOutcome.NOT_LOADED, 2, -1));
    }
    return orders.size();
  }

  /**
   * Seen on a day of rude clients: calls of functions that nobody has halved the pace of all loads,
   * down to one at a time.
   */
  @Test
  void failedLoadsOfFunctionsOfNobodyDoNotSlowTheOthers() {
    assertThat(ordersAfter(0)).isGreaterThan(3);
    assertThat(ordersAfter(6)).isEqualTo(ordersAfter(0));
  }

  /** Where jobs of eight functions go after so many calls of functions of nobody erred. */
  private static List<Integer> placesAfter(int errors) {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.idempotency = Idempotency.NON_IDEMPOTENT;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4));
    int one = -1;
    for (int i = 0; i < 60; i++) { // or all workers would err alike, which blames none
      int job = 200 + i;
      harness.at(1 + i, events -> harness.requestArrives(events, job, job % 8));
      one = job == 206 ? harness.sentTo(job) : one;
      harness.at(
          1 + i,
          events ->
              harness.attemptEnds(
                  events, job, 0, harness.sentTo(job), AttemptOutcome.SUCCEEDED, 5, 0));
    }
    int bad = one;
    for (int i = 0; i < errors; i++) {
      int job = i;
      harness
          .at(70 + 5 * i, events -> harness.requestArrives(events, job, 100 + job))
          .at(
              72 + 5 * i,
              events -> {
                if (harness.sentTo(job) != bad) {
                  events.clientLeft(job);
                }
                harness.attemptEnds(
                    events,
                    job,
                    0,
                    harness.sentTo(job),
                    harness.sentTo(job) == bad ? AttemptOutcome.FAILED : AttemptOutcome.CANCELLED,
                    2,
                    -1);
              });
    }
    harness.at(
        500,
        events -> {
          for (int i = 0; i < 8; i++) {
            harness.requestArrives(events, 50 + i, i);
          }
        });
    return java.util.stream.IntStream.range(50, 58).mapToObj(harness::sentTo).toList();
  }

  /**
   * Seen on the same day: errors that such calls met at one worker after the other had healthy
   * workers shunned.
   */
  @Test
  void errorsOfFunctionsOfNobodyShunNoWorker() {
    assertThat(placesAfter(48)).isEqualTo(placesAfter(0)).doesNotContain(-1);
  }

  /**
   * Seen on sockets: with three routers reports of jobs held, a while old, drove jobs away from
   * idle workers.
   */
  @Test
  void withFewRoutersWhatAWorkerHoldsIsNotReadFromReports() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    java.util.Set<Integer> orders = new java.util.HashSet<>();
    harness.onLoad = (worker, function) -> orders.add(worker);
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 200; i++) { // a crowd at both copies, until the target is at two
      int job = i;
      harness.at(10 + 20 * i, events -> harness.requestArrives(events, job, 0));
      harness.at(
          15 + 20 * i,
          events ->
              harness.attemptEnds(
                  events, job, 0, harness.sentTo(job), AttemptOutcome.SUCCEEDED, 5, 4));
    }
    assertThat(harness.targetReplicas(0)).isEqualTo(2);
    harness.at(
        4500,
        events ->
            orders.forEach(
                worker ->
                    events.loadCommandEnded(
                        new LoadCommandResult(worker, 0, AttemptOutcome.SUCCEEDED, ms(200), 1))));
    harness.at(5000, events -> harness.requestArrives(events, 300, 0));
    int first = harness.sentTo(300);
    harness.at(
        5010,
        events ->
            events.attemptEnded(
                new AttemptResult(
                    300,
                    0,
                    first,
                    AttemptOutcome.SUCCEEDED,
                    ms(10),
                    true,
                    new LoadReport(0.9, 50, Double.NaN, 0))));
    harness.at(5020, events -> harness.requestArrives(events, 301, 0));
    assertThat(harness.sentTo(301)).isEqualTo(first);
  }

  /**
   * Two jobs, then none: the home copy is held anew before its keep-alive of 10 s is over, for four
   * of them.
   */
  private static PolicyHarness calledTwice(PolicyHarness.TestSettings settings) {
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int home = home(harness);
    harness.onLoad = (worker, function) -> assertThat(worker).isEqualTo(home);
    harness
        .at(60, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 50, 0))
        .at(100, events -> harness.requestArrives(events, 1, 0));
    harness.at(
        150, events -> harness.attemptEnds(events, 1, 0, home, AttemptOutcome.SUCCEEDED, 50, 0));
    for (int time = 1000; time <= 60_000; time += 1000) {
      long held = harness.count("hold");
      harness.at(time, events -> events.wakeUp(0));
      if (harness.count("hold") > held) {
        harness.at(
            time + 20,
            events ->
                events.loadCommandEnded(
                    new LoadCommandResult(home, 0, AttemptOutcome.SUCCEEDED, ms(20), 1)));
      }
    }
    return harness;
  }

  @Test
  void oneCopyStaysForSomeKeepAlives() {
    PolicyHarness harness = calledTwice(new PolicyHarness.TestSettings());
    assertThat(harness.count("hold")).isEqualTo(5); // each 7 s, within 40 s of the last job
    assertThat(harness.count("forget function")).isEqualTo(1);
  }

  @Test
  void noCopyStaysWhereOrdersAreRationedOrMemoryIsPricedOrRoutersAreManyOrAfterOneJob() {
    PolicyHarness.TestSettings rationed = new PolicyHarness.TestSettings();
    rationed.loadQuotaWindow = ms(5000);
    rationed.loadQuotaBase = 3;
    PolicyHarness.TestSettings priced = new PolicyHarness.TestSettings();
    priced.idleMemoryPrice = 0.05;
    PolicyHarness.TestSettings many = new PolicyHarness.TestSettings();
    many.routerCount = 40;
    for (PolicyHarness.TestSettings settings : List.of(rationed, priced, many)) {
      assertThat(calledTwice(settings).count("hold")).isZero();
    }
    PolicyHarness once = new PolicyHarness(new PolicyHarness.TestSettings());
    once.at(0, events -> list(events, 4)).at(10, events -> once.requestArrives(events, 0, 0));
    int home = home(once);
    once.at(60, events -> once.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 50, 0))
        .until(30_000);
    assertThat(once.count("hold")).isZero();
  }

  @Test
  void aStreamThatBeganIsLeftAloneUntilItsEnd() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness
        .at(0, events -> list(events, 3))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(60, events -> events.responseStarted(0, 0))
        .until(5000);
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("push back") + harness.count("kill") + harness.count("cancel"))
        .isZero();
    int at = harness.sentTo(0);
    harness.at(
        5100,
        events ->
            events.attemptEnded(
                new AttemptResult(
                    0, 0, at, AttemptOutcome.CONNECTION_LOST, ms(5090), true, LoadReport.NONE)));
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("forget job 0")).isEqualTo(1);
  }

  /**
   * One router of 200 at a time starved the successors of a release: turns are shared, one job a
   * turn each.
   */
  @Test
  void atSizeTurnsAtAColdWorkerAreShared() {
    long sent = 0;
    for (int routerIndex = 0; routerIndex < 200; routerIndex++) {
      PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
      settings.loadsOnDemand = true;
      settings.routerCount = 200;
      settings.routerIndex = routerIndex;
      PolicyHarness harness = new PolicyHarness(settings);
      harness.at(
          1000,
          events -> {
            events.endpointListStarted(true);
            events.endpointListed(
                new EndpointEntry(0, 1000, WorkerState.READY, 0, 0, 0, 1, ms(1000)));
            events.endpointListEnded();
            harness.requestArrives(events, 0, 0);
            harness.requestArrives(events, 1, 0);
          });
      assertThat(harness.count("send")).isLessThanOrEqualTo(1);
      sent += harness.count("send");
    }
    assertThat(sent).isBetween(2L, 40L);
  }
}
