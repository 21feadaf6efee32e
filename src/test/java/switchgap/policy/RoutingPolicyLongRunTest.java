package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.change;
import static switchgap.policy.PolicyHarness.list;
import static switchgap.policy.PolicyHarness.ms;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.WorkerState;

/**
 * What a day on the bench is too short to show: tables that fill, figures that freeze, beliefs that
 * never end.
 */
class RoutingPolicyLongRunTest {
  private int job;

  /**
   * So many jobs of function 0, one each {@code every} ms, each finished after {@code took}.
   * Returns the time reached.
   */
  private int run(PolicyHarness harness, int from, int jobs, int every, int took) {
    int time = from;
    for (int i = 0; i < jobs; i++, time += every) {
      int j = job++ % 50;
      harness.at(time, events -> harness.requestArrives(events, j, 0));
      harness.at(
          time + took,
          events -> {
            if (harness.sentTo(j) >= 0) {
              harness.attemptEnds(
                  events, j, 0, harness.sentTo(j), AttemptOutcome.SUCCEEDED, took, 0);
            }
          });
    }
    return time;
  }

  private void home(PolicyHarness harness) {
    harness
        .at(0, events -> list(events, 3))
        .at(5, events -> harness.requestArrives(events, 0, 0))
        .at(
            50,
            events ->
                harness.attemptEnds(
                    events, 0, 0, harness.sentTo(0), AttemptOutcome.SUCCEEDED, 45, 0));
  }

  /** Each job's arrival stayed until the next order: for days where all copies stand. */
  @Test
  void arrivalsAreKeptForTheirSpanWhereNoOrderIsAskedFor() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.loadQuotaBase = 3;
    settings.loadQuotaPerRequest = 0.15;
    settings.loadQuotaWindow = ms(5000);
    PolicyHarness harness = new PolicyHarness(settings);
    home(harness);
    int time = run(harness, 100, 1000, 20, 10);
    long before = harness.reachableElements();
    run(harness, time, 20_000, 20, 10);
    assertThat(harness.reachableElements()).isLessThan(before + 200);
  }

  /**
   * The usual time of a workload was the median of all its life: after days nothing that changed
   * moved it.
   */
  @Test
  void theUsualTimeFollowsWhatItIsNow() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    home(harness);
    int time = run(harness, 100, 20_000, 60, 40);
    time = run(harness, time, 400, 400, 390);
    int at = time;
    harness.at(
        at,
        events ->
            harness.requestArrives(
                events, 99, 0, 420)); // a limit nearer than one and a half of what it takes now
    String all = harness.trace();
    assertThat(all.substring(Math.max(0, all.length() - 300))).contains(at + " push back job 99");
  }

  /**
   * A worker first heard of at its start was taken to be empty for good, for each function that
   * came later.
   */
  @Test
  void aWorkerIsTakenToBeEmptyOnlyWhileItIsCold() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(
            0,
            events -> {
              events.endpointListStarted(true);
              events.endpointListed(
                  new EndpointEntry(0, 1000, WorkerState.READY, 0, 0, 0, 1, ms(0)));
              events.endpointListEnded();
            })
        .until(11_000)
        .at(3_600_000, events -> harness.requestArrives(events, 0, 0));
    assertThat(harness.count("send"))
        .isEqualTo(1); // others may have loaded it within the hour: tried, not ordered
    assertThat(harness.count("hold")).isZero();
  }

  @Test
  void aNewProcessIsEmptyForFunctionsHeardOfLater() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 1))
        .at(60_000, events -> change(events, 0, WorkerState.READY, ms(60_000)));
    harness.at(65_000, events -> harness.requestArrives(events, 0, 0));
    assertThat(harness.count("send")).isZero();
    assertThat(harness.count("hold")).isEqualTo(1);
  }

  /**
   * Seen on join+mass: workers that drained before the list said so were given three orders a
   * served job, and each is priced.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 100})
  void aWorkerThatRefusedAnOrderIsNotGivenItAtOnceAgain(int routers) {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = routers;
    PolicyHarness harness = new PolicyHarness(settings);
    List<Integer> refused = new ArrayList<>();
    List<Integer> all = new ArrayList<>();
    harness.onLoad =
        (worker, function) -> {
          refused.add(worker);
          all.add(worker);
        };
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(
            20,
            events ->
                harness.attemptEnds(
                    events, 0, 0, harness.sentTo(0), AttemptOutcome.NOT_LOADED, 2, 0));
    for (int time = 30; time < 900; time += 10) {
      List<Integer> now = List.copyOf(refused);
      refused.clear();
      harness.at(
          time,
          events ->
              now.forEach(
                  worker ->
                      events.loadCommandEnded(
                          new LoadCommandResult(worker, 0, AttemptOutcome.REJECTED, ms(2), 0))));
      if (harness.sentTo(0) >= 0 && harness.attemptsOf(0) == 2) {
        harness.at(
            time,
            events ->
                harness.attemptEnds(
                    events, 0, 1, harness.sentTo(0), AttemptOutcome.NOT_LOADED, 2, 0));
      }
    }
    assertThat(all).isNotEmpty().doesNotHaveDuplicates(); // each worker once a second,
    assertThat(all.size() + harness.count("ask"))
        .isGreaterThan(1); // and others are tried; at size they are asked first
  }

  /**
   * Seen on join+mass: calls of functions that nobody has, by clients that repeat at once, each
   * with an order that failed.
   */
  @Test
  void aFunctionThatFailedToLoadTwiceAndNeverStoodIsOrderedOnceASecond() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    List<Integer> out = new ArrayList<>();
    int[] orders = {0};
    harness.onLoad =
        (worker, function) -> {
          out.add(worker);
          orders[0]++;
        };
    harness.at(0, events -> list(events, 4));
    for (int time = 10; time < 3000; time += 10) {
      List<Integer> now = List.copyOf(out);
      out.clear();
      int j = time;
      harness.at(
          time,
          events -> {
            now.forEach(
                worker ->
                    events.loadCommandEnded(
                        new LoadCommandResult(worker, 0, AttemptOutcome.FAILED, ms(2), 0)));
            harness.requestArrives(events, j, 0);
          });
      if (harness.sentTo(j) >= 0) {
        harness.at(
            time,
            events ->
                harness.attemptEnds(
                    events, j, 0, harness.sentTo(j), AttemptOutcome.NOT_LOADED, 2, 0));
      }
    }
    assertThat(orders[0]).isBetween(3, 2 + 4);
  }

  /**
   * Seen on join+mass, 9039 orders of which 8325 ended at once: a copy that stood at a worker still
   * too cold was ordered again and again.
   */
  @ParameterizedTest
  @ValueSource(ints = {7, 10, 24}) // functions whose first worker in order is the warm one
  void aCopyThatStandsAtAColdWorkerIsNotOrderedAgain(int function) {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = 100;
    settings.routerIndex = 50; // its turn at a cold worker comes later
    PolicyHarness harness = new PolicyHarness(settings);
    List<Integer> out = new ArrayList<>();
    int[] orders = {0};
    harness.onLoad =
        (worker, f) -> {
          out.add(worker);
          orders[0]++;
        };
    harness
        .at(1000, events -> list(events, 1))
        .at(1010, events -> harness.requestArrives(events, 0, function))
        .at(
            1020,
            events ->
                harness.attemptEnds(
                    events, 0, 0, harness.sentTo(0), AttemptOutcome.SUCCEEDED, 10, 0));
    harness.at(
        1030,
        events -> {
          change(events, 1, WorkerState.READY, ms(1030)); // new and cold
          change(events, 2, WorkerState.READY, ms(1030));
        });
    for (int time = 1040; time < 3000; time += 10) {
      List<Integer> now = List.copyOf(out);
      out.clear();
      int j = time;
      harness.at(
          time,
          events -> {
            now.forEach(
                worker ->
                    events.loadCommandEnded(
                        new LoadCommandResult(
                            worker, function, AttemptOutcome.SUCCEEDED, ms(2), 1)));
            harness.requestArrives(events, j, function); // more than the one warm worker takes
          });
    }
    assertThat(orders[0]).isBetween(1, 2);
  }

  /**
   * Seen on days of a hundred routers: questions cost 0.08 to 0.23 of all worth, and earned 0.01.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.01, 0.08})
  void workersAreAskedForTheirLoadWhereItIsWorthItsPrice(double price) {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
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
                    events, 0, 0, harness.sentTo(0), AttemptOutcome.SUCCEEDED, 80, 8))
        .until(1100);
    harness.at(1200, events -> harness.requestArrives(events, 1, 0)).until(1300);
    assertThat(harness.count("probe") > 0).isEqualTo(price < 0.015);
    assertThat(harness.count("send")).isEqualTo(2); // asked or not, the job goes out
  }

  /**
   * One answer without a load report, as from a worker that had just begun, ended all questions for
   * good.
   */
  @Test
  void workersAreAskedForTheirLoadAgainAfterOneToldNone() {
    PolicyHarness.TestSettings settings = new PolicyHarness.TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(
            90,
            events ->
                harness.attemptEnds(
                    events, 0, 0, harness.sentTo(0), AttemptOutcome.SUCCEEDED, 80, 8))
        .until(1100);
    harness.at(1200, events -> harness.requestArrives(events, 1, 0));
    assertThat(harness.count("probe")).isPositive();
    long asked = harness.count("probe");
    for (int worker = 0; worker < 4; worker++) {
      int at = worker;
      harness.at(
          1202,
          events ->
              events.probeEnded(new ProbeResult(at, AttemptOutcome.SUCCEEDED, LoadReport.NONE)));
    }
    harness
        .until(1300)
        .at(
            1320,
            events ->
                harness.attemptEnds(
                    events, 1, 0, harness.sentTo(1), AttemptOutcome.SUCCEEDED, 80, 8))
        .until(3000);
    for (int i = 0; i < 20; i++) {
      int j = 2 + i;
      harness
          .at(3000 + 6000 * i, events -> harness.requestArrives(events, j, 0))
          .until(3100 + 6000 * i);
      if (harness.sentTo(j) >= 0) {
        harness.at(
            3120 + 6000 * i,
            events ->
                harness.attemptEnds(
                    events, j, 0, harness.sentTo(j), AttemptOutcome.SUCCEEDED, 80, 8));
      }
      harness.until(8980 + 6000 * i);
    }
    assertThat(harness.count("probe"))
        .as(harness.trace().substring(Math.max(0, harness.trace().length() - 1500)))
        .isGreaterThan(asked + 1);
  }

  /**
   * A wake-up that never came was waited for for good: what waits is looked at only as other events
   * come.
   */
  @Test
  void aWakeUpThatWasLostIsAskedForAgain() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    harness.at(0, events -> list(events, 1)); // asks for its first, which is lost
    int asked = harness.wakes;
    harness
        .at(5000, events -> harness.requestArrives(events, 0, 0))
        .at(
            5002,
            events ->
                harness.attemptEnds(
                    events, 0, 0, 0, AttemptOutcome.NOT_LOADED, 2, -1)); // now it waits
    assertThat(harness.wakes).isGreaterThan(asked);
    int then = harness.wakes;
    harness
        .at(5500, events -> events.wakeUp(1))
        .at(5520, events -> events.wakeUp(1)); // late, and twice
    assertThat(harness.wakes).isBetween(then, then + 2);
  }
}
