package switchgap.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import switchgap.testbed.soak.SoakJudge.Rule;
import switchgap.testbed.soak.SoakRecords.Span;
import switchgap.testbed.soak.SoakRecords.WorkerLife;

/**
 * The judge sees each rule broken in records that break it, and none in records of a run that is
 * well.
 */
class SoakJudgeTest {
  private static final long MILLI = 1_000_000;
  private static final long START = 1_000_000 * MILLI;

  private final SoakRecords records = new SoakRecords();

  private static long at(long millis) {
    return START + millis * MILLI;
  }

  private ClientRequest request(String id, boolean idempotent) {
    ClientRequest request = new ClientRequest(id, 0, 1, idempotent, 500, false);
    request.sentNanos = at(0);
    records.requests.add(request);
    return request;
  }

  private ClientRequest served(String id, long millis) {
    ClientRequest request = request(id, false);
    request.replies = 1;
    request.ended(ClientRequest.End.SERVED, at(millis));
    return request;
  }

  private void executed(String id, String worker, long millis, long max) {
    records.workers.putIfAbsent(worker, new WorkerLife(worker, 0));
    records.executions.add(new WorkerExecution(id, worker, at(millis), max, true));
  }

  private Set<Rule> broken() {
    Set<Rule> rules = EnumSet.noneOf(Rule.class);
    new SoakJudge(records).judge().forEach(each -> rules.add(each.rule()));
    return rules;
  }

  private void breakRule(Rule rule) {
    switch (rule) {
      case LOST -> request("a", true);
      case DUPLICATE -> {
        served("a", 100);
        executed("a", "w1", 10, 400);
        executed("a", "w2", 50, 400);
      }
      case DRAIN -> {
        served("a", 900);
        executed("a", "w1", 800, 0);
        records.workers.get("w1").drainedNanos = at(0);
      }
      case FAILBACK -> {
        records.workers.put("cold", new WorkerLife("cold", at(0)));
        for (int i = 0; i < 200; i++) {
          executed("flood" + i, "cold", 100 + i, 100);
        }
      }
      case CLIENT_GONE -> {
        ClientRequest request = request("a", true);
        request.leftNanos = at(0);
        request.ended(ClientRequest.End.LEFT, at(0));
        executed("a", "w1", 300, 100);
      }
      case DEADLINE -> {
        served("a", 100);
        executed("a", "w1", 90, 1000);
      }
      case ANSWER -> served("a", 100).replies = 2;
      case PROCESS -> records.processFaults.add("router 0 crashed with 70");
      default -> throw new IllegalArgumentException(rule + " is not broken by any records");
    }
  }

  @ParameterizedTest
  @EnumSource
  void eachRuleIsSeenBroken(Rule rule) {
    breakRule(rule);
    assertThat(broken()).containsExactly(rule);
  }

  @Test
  void aRunThatIsWellBreaksNothing() {
    served("a", 100);
    executed("a", "w1", 10, 490);
    request("b", true).ended(ClientRequest.End.REFUSED, at(20));
    assertThat(broken()).isEmpty();
  }

  @Test
  void answersThatAreLateOrCutOffAreLost() {
    served("late", 1200);
    assertThat(broken()).containsExactly(Rule.LOST);
    records.requests.clear();
    request("cut", true).ended(ClientRequest.End.CUT_OFF, at(5));
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void whatAKillCutsOffIsNoFaultAndWhatAPauseDelaysIsNotLate() {
    ClientRequest cut = request("cut", true);
    cut.ended(ClientRequest.End.CUT_OFF, at(50));
    Span kill = new Span(0, at(49));
    kill.endNanos = at(900);
    records.kills.add(kill);
    ClientRequest delayed = new ClientRequest("delayed", 1, 1, true, 500, true);
    delayed.sentNanos = at(0);
    delayed.ended(ClientRequest.End.REFUSED, at(2100));
    records.requests.add(delayed);
    Span pause = new Span(1, at(50));
    pause.endNanos = at(2050);
    records.pauses.add(pause);
    assertThat(broken()).isEmpty();
    records.kills.clear();
    records.pauses.clear();
    assertThat(broken()).containsExactly(Rule.LOST);
  }

  @Test
  void aSeedDrawsTheSameFaultsAndLeavesOutTheSame() {
    List<FaultPlan.Fault> all = FaultPlan.draw(4, 20, Set.of());
    assertThat(FaultPlan.draw(4, 20, Set.of())).isEqualTo(all);
    FaultKind kind = all.get(0).kind();
    assertThat(FaultPlan.draw(4, 20, Set.of(kind)))
        .isEqualTo(all.stream().filter(fault -> fault.kind() != kind).toList());
  }
}
