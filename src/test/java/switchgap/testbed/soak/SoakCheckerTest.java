package switchgap.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.Violation;

/** The soak checker reports each violated invariant, and nothing if all invariants hold. */
class SoakCheckerTest {
  private final RunBuilder run = new RunBuilder();

  private List<Invariant> violatedInvariants() {
    return SoakChecker.check(run.build()).stream().map(Violation::invariant).distinct().toList();
  }

  private void violate(Invariant invariant) {
    switch (invariant) {
      case FINAL_RESPONSE_IN_TIME -> run.request("a").withoutResponse();
      case RESPONSE_MATCHES_REQUEST -> run.request("a").nonIdempotent().servedAt(100, 100);
      case NO_DUPLICATE_EFFECT -> {
        run.request("a").nonIdempotent().servedAt(100);
        run.attempt("a", "w1").withTimeout(400).executedAt(10);
        run.attempt("a", "w2").withTimeout(400).executedAt(50);
      }
      case NO_SEND_TO_DRAINING_WORKER -> {
        run.request("a").nonIdempotent().servedAt(900);
        run.attempt("a", "w1").executedAt(800).workerDraining("w1", 0);
      }
      case SLOW_START -> {
        run.workerStarted("cold", 0);
        for (int i = 0; i < 200; i++) {
          run.attempt("flood" + i, "cold").withTimeout(100).executedAt(100 + i);
        }
      }
      case NO_ATTEMPT_AFTER_CANCELLATION -> {
        run.request("a").cancelledAt(0);
        run.attempt("a", "w1").withTimeout(100).executedAt(300);
      }
      case DEADLINE_PROPAGATION -> {
        run.request("a").nonIdempotent().servedAt(100);
        run.attempt("a", "w1").withTimeout(1000).executedAt(90);
      }
      case PROCESS_HEALTH -> run.processFault("router 0 exited unexpectedly with code 70");
      default -> throw new IllegalArgumentException(invariant + " is not checked by the soak");
    }
  }

  /** The soak checks all invariants except the load quota, which its routers don't have. */
  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LOAD_QUOTA")
  void reportsViolatedInvariant(Invariant invariant) {
    violate(invariant);

    assertThat(violatedInvariants()).containsExactly(invariant);
    assertThat(invariant.soakLabel()).isNotNull();
  }

  @Test
  void reportsNothingWhenAllInvariantsHold() {
    run.request("a").nonIdempotent().servedAt(100);
    run.attempt("a", "w1").withTimeout(490).executedAt(10);
    run.request("b").rejectedAt(20);

    assertThat(SoakChecker.check(run.build())).isEmpty();
  }

  @Test
  void reportsLostRequestWhenResponseIsLate() {
    run.request("late").nonIdempotent().servedAt(1200);

    assertThat(violatedInvariants()).containsExactly(Invariant.FINAL_RESPONSE_IN_TIME);
  }

  @Test
  void reportsLostRequestWhenConnectionIsLost() {
    run.request("cut").connectionLostAt(5);

    assertThat(violatedInvariants()).containsExactly(Invariant.FINAL_RESPONSE_IN_TIME);
  }

  private void addLostConnectionAtRouter0AndLateResponseAtRouter1() {
    run.request("cut").connectionLostAt(50);
    run.request("delayed").toRouter(1).rejectedAt(2100);
  }

  @Test
  void excusesLostConnectionOfKilledRouterAndLateResponseOfPausedRouter() {
    addLostConnectionAtRouter0AndLateResponseAtRouter1();
    run.outage(OutageCause.ROUTER_KILLED, 0, 49, 900);
    run.outage(OutageCause.ROUTER_PAUSED, 1, 50, 2050);

    assertThat(SoakChecker.check(run.build())).isEmpty();
  }

  @Test
  void reportsLostConnectionAndLateResponseWithoutOutage() {
    addLostConnectionAtRouter0AndLateResponseAtRouter1();

    assertThat(SoakChecker.check(run.build()))
        .extracting(Violation::invariant)
        .containsExactly(Invariant.FINAL_RESPONSE_IN_TIME, Invariant.FINAL_RESPONSE_IN_TIME);
  }
}
