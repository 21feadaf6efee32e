package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.list;
import static switchgap.policy.PolicyHarness.ms;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.RequestArrival;

/**
 * Troubles whose answers only the bench had shown: slow workers, lost answers, a slow store, a
 * customer's burst, zones.
 */
class RoutingPolicyFaultsTest {
  /**
   * Function 0 at two copies that are told to be crowded; returns the two workers, the first of the
   * hash order first.
   */
  private static int[] two(PolicyHarness harness) {
    return two(harness, 0);
  }

  private static int[] two(PolicyHarness harness, int function) {
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, function));
    int home = harness.sentTo(0);
    int[] second = {-1};
    harness.onLoad = (worker, f) -> second[0] = worker;
    harness.at(
        60, events -> harness.attemptEnds(events, 0, 0, home, AttemptOutcome.SUCCEEDED, 50, 3));
    for (int i = 0; i < 20; i++) {
      int time = 100 + 60 * i;
      harness.at(time, events -> harness.requestArrives(events, 1, function));
      int at = harness.sentTo(1);
      harness.at(
          time + 50,
          events -> harness.attemptEnds(events, 1, 0, at, AttemptOutcome.SUCCEEDED, 50, 3));
    }
    assertThat(harness.targetReplicas(function)).isEqualTo(2);
    harness.at(
        1400,
        events ->
            events.loadCommandEnded(
                new LoadCommandResult(second[0], function, AttemptOutcome.SUCCEEDED, ms(100), 1)));
    return new int[] {home, second[0]};
  }

  @Test
  void aSlowWorkerIsSteppedRound() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    int[] at = two(harness);
    int early = 0;
    int late = 0;
    for (int i = 0; i < 60; i++) {
      int time = 1500 + 450 * i;
      harness.at(
          time,
          events -> {
            harness.requestArrives(events, 2, 0);
            harness.requestArrives(events, 3, 0);
          });
      for (int j = 2; j < 4; j++) {
        int worker = harness.sentTo(j);
        int job = j;
        early += i < 3 && worker == at[0] ? 1 : 0;
        late += i >= 40 && worker == at[0] ? 1 : 0;
        harness.at(
            time + (worker == at[0] ? 400 : 30 + j),
            events ->
                harness.attemptEnds(
                    events,
                    job,
                    0,
                    worker,
                    AttemptOutcome.SUCCEEDED,
                    worker == at[0] ? 400 : 30,
                    3));
      }
    }
    assertThat(early).isGreaterThanOrEqualTo(3);
    assertThat(late).isLessThan(15); // of 40
  }

  @Test
  void lostAnswersShunNobodyAndSilenceDoes() {
    PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
    int home = two(harness)[0];
    int time = 2000;
    for (int i = 0; i < 6; i++, time += 700) { // one of two answers is lost
      int from = time;
      harness
          .at(from, events -> harness.requestArrives(events, 2, 0))
          .at(from + 5, events -> harness.requestArrives(events, 3, 0))
          .at(from + 10, events -> harness.requestArrives(events, 4, 0));
      assertThat(List.of(harness.sentTo(2), harness.sentTo(3), harness.sentTo(4))).contains(home);
      for (int j = 2; j < 5; j++) {
        int job = j;
        int worker = harness.sentTo(j);
        if (j > 2) {
          harness.at(
              from + 60 + j,
              events ->
                  harness.attemptEnds(events, job, 0, worker, AttemptOutcome.SUCCEEDED, 60, 3));
        }
      }
      int lost = harness.sentTo(2);
      harness.at(
          from + 500,
          events -> harness.attemptEnds(events, 2, 0, lost, AttemptOutcome.TIMED_OUT, 500, -1));
      harness.at(
          from + 600,
          events -> {
            if (harness.sentTo(2) >= 0) {
              harness.attemptEnds(
                  events, 2, 1, harness.sentTo(2), AttemptOutcome.SUCCEEDED, 500, 3);
            }
          });
    }
    PolicyHarness other = new PolicyHarness(new PolicyHarness.TestSettings());
    int dumb = two(other)[0];
    List<Integer> sent = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      int from = 2000 + 700 * i;
      other.at(from, events -> other.requestArrives(events, 2, 0));
      int worker = other.sentTo(2);
      sent.add(worker);
      other.at(
          from + 500,
          events ->
              other.attemptEnds(
                  events,
                  2,
                  0,
                  worker,
                  worker == dumb ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCEEDED,
                  500,
                  3));
      other.at(
          from + 650,
          events -> {
            if (other.sentTo(2) >= 0) {
              other.attemptEnds(events, 2, 1, other.sentTo(2), AttemptOutcome.SUCCEEDED, 150, 3);
            }
          });
    }
    assertThat(sent.subList(0, 2)).containsOnly(dumb);
    assertThat(sent.subList(2, 4)).doesNotContain(dumb);
  }

  /**
   * Loads out at a time: three to begin with here, more where they come through in time, one where
   * the store is slow.
   */
  @Test
  void loadsOutFollowTheStoresPace() {
    for (int took : new int[] {100, 4000}) {
      PolicyHarness harness = new PolicyHarness(new PolicyHarness.TestSettings());
      List<int[]> out = new ArrayList<>();
      int[] now = {0};
      harness.onLoad = (worker, function) -> out.add(new int[] {now[0] + took, worker, function});
      harness.at(0, events -> list(events, 4));
      int most = 0;
      int last = 0;
      for (int i = 0; i < 3000; i++) {
        now[0] = 10 + 10 * i;
        int function = i;
        harness.at(
            now[0],
            events -> {
              harness.requestArrives(events, function, function);
              for (int[] o : List.copyOf(out)) {
                if (o[0] <= now[0] && out.remove(o)) {
                  events.loadCommandEnded(
                      new LoadCommandResult(o[1], o[2], AttemptOutcome.SUCCEEDED, ms(took), 1));
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
                      function,
                      harness.attemptsOf(function) - 1,
                      worker,
                      AttemptOutcome.NOT_LOADED,
                      2,
                      -1));
        }
        most = Math.max(most, out.size());
        last = i > 2000 ? Math.max(last, out.size()) : last;
        if (i == 8) {
          assertThat(out.size()).as("to begin with").isEqualTo(3);
        }
      }
      if (took == 100) {
        assertThat(most).isGreaterThan(5);
      } else {
        assertThat(last).isEqualTo(1);
      }
    }
  }

  @Test
  void aCustomerOverItsShareWaitsBehindTheOthers() {
    PolicyHarness.TestSettings settings =
        new PolicyHarness.TestSettings() {
          @Override
          public int tenantCount() {
            return 2;
          }

          @Override
          public double tenantQuota(int c) {
            return 10;
          }
        };
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 1))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(60, events -> harness.attemptEnds(events, 0, 0, 0, AttemptOutcome.SUCCEEDED, 50, 0));
    for (int i = 0; i < 40; i++) {
      int time = 100 + 10 * i;
      harness.at(time, events -> harness.requestArrives(events, 1, 0));
      if (harness.sentTo(1) >= 0) {
        harness.at(
            time + 8,
            events -> harness.attemptEnds(events, 1, 0, 0, AttemptOutcome.SUCCEEDED, 8, 0));
      }
    }
    harness.at(
        600,
        events -> {
          for (int j = 2; j < 40; j++) {
            harness.requestArrives(events, j, 0);
          }
        });
    harness.at(
        610,
        events -> {
          for (int j = 40; j < 43; j++) {
            events.requestArrived(new RequestArrival(j, 0, 1, 0, 50, ms(2610), null, 100, 2));
          }
        });
    assertThat(harness.sentTo(39)).isEqualTo(-1);
    assertThat(harness.sentTo(40)).isEqualTo(-1);
    harness.at(
        640,
        events -> {
          for (int j = 2; j < 5; j++) {
            harness.attemptEnds(events, j, 0, 0, AttemptOutcome.SUCCEEDED, 40, 3);
          }
        });
    assertThat(List.of(harness.sentTo(40), harness.sentTo(41), harness.sentTo(42))).containsOnly(0);
  }

  @Test
  void theOwnZoneGoesFirstAndYieldsWhenItIsCrowded() {
    PolicyHarness.TestSettings settings =
        new PolicyHarness.TestSettings() {
          @Override
          public double crossZonePrice() {
            return 0.02;
          }
        };
    int function = 0;
    PolicyHarness harness = new PolicyHarness(settings);
    int[] at = two(harness, function);
    while (at[0] % 2 == at[1] % 2) { // the helper's zones are a worker's number modulo 2
      harness = new PolicyHarness(settings);
      at = two(harness, ++function);
    }
    int own = at[0] % 2 == 0 ? at[0] : at[1];
    int of = function;
    PolicyHarness other = harness;
    other.at(1500, events -> other.requestArrives(events, 2, of));
    assertThat(other.sentTo(2)).isEqualTo(own);
    other.at(
        1501,
        events -> {
          for (int j = 3; j < 9; j++) {
            other.requestArrives(events, j, of);
          }
        });
    assertThat(java.util.stream.IntStream.range(3, 9).map(other::sentTo).boxed().toList())
        .contains(at[0], at[1]);
  }
}
