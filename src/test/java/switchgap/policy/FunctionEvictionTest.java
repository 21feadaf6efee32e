package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.AttemptEnd.timedOut;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.loadFailed;

import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.PolicyEvents;

/** Functions that are released at the limit of functions. */
class FunctionEvictionTest {
  private final PolicyHarness harness = new PolicyHarness(settings());

  private static TestSettings settings() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 100;
    settings.maxAttempts = 1;
    return settings;
  }

  private void requestAt(int time, int function) {
    harness.at(time, events -> harness.requestArrives(events, function, function));
    assertThat(harness.sentTo(function)).isNotNegative();
  }

  /** Requests a function; its first and only attempt is served. */
  private void serveAt(int time, int function) {
    requestAt(time, function);
    int worker = harness.sentTo(function);
    harness.at(time + 5, events -> harness.attemptEnds(events, succeeded(function, worker)));
  }

  /** Requests a function that does not exist: no replica is found, and the load fails. */
  private void rejectAt(int time, int function) {
    requestAt(time, function);
    int worker = harness.sentTo(function);
    harness
        .at(time + 5, events -> harness.attemptEnds(events, notLoaded(function, worker)))
        .at(time + 6, events -> loadFailed(events, worker, function, AttemptOutcome.FAILED));
  }

  private List<Integer> releasedAtLimit(int time) {
    long before = harness.trace().lines().count();
    harness.at(time, PolicyEvents::functionLimitReached);
    return harness
        .trace()
        .lines()
        .skip(before)
        .filter(line -> line.contains(" release function "))
        .map(line -> Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1)))
        .toList();
  }

  /** Guards against functions that do not exist and displace those in use (review case 6). */
  @Test
  void releasesFunctionsThatWereNeverLoadedFirst() {
    harness.at(0, events -> list(events, 4));
    serveAt(10, 0);
    rejectAt(20, 1);
    serveAt(30, 2);
    rejectAt(40, 3);
    assertThat(releasedAtLimit(60)).containsExactly(1);
    assertThat(releasedAtLimit(70)).containsExactly(3);
    assertThat(releasedAtLimit(80)).containsExactly(0);
    assertThat(releasedAtLimit(90)).containsExactly(2);
    assertThat(releasedAtLimit(100)).isEmpty();
  }

  @Test
  void keepsFunctionsThatWereRequestedMostRecently() {
    harness.at(0, events -> list(events, 4));
    for (int function = 0; function < 64; function++) {
      rejectAt(10 * (1 + function), function);
    }
    harness
        .at(700, events -> harness.requestArrives(events, 0, 0))
        .at(710, events -> loadFailed(events, harness.lastLoadedAt(), 0, AttemptOutcome.FAILED))
        .until(1200);
    assertThat(harness.count("release request 0")).isEqualTo(2);
    assertThat(releasedAtLimit(1210)).containsExactly(1, 2, 3, 4);
  }

  /** Guards against an index that is reused while its function still has an attempt in flight. */
  @Test
  void keepsFunctionWithAttemptInFlightWhoseClientHasDisconnected() {
    TestSettings settings = settings();
    settings.cancellationAllowed = false;
    PolicyHarness inFlight = new PolicyHarness(settings);
    inFlight
        .at(0, events -> list(events, 4))
        .at(10, events -> inFlight.requestArrives(events, 0, 0));
    int worker = inFlight.sentTo(0);
    inFlight
        .at(20, events -> events.clientDisconnected(0))
        .at(30, PolicyEvents::functionLimitReached);
    assertThat(inFlight.count("release function")).isZero();
    inFlight
        .at(40, events -> inFlight.attemptEnds(events, timedOut(0, worker)))
        .at(50, PolicyEvents::functionLimitReached);
    assertThat(inFlight.count("release function")).isEqualTo(1);
  }

  @Test
  void keepsFunctionWithLoadCommandInFlight() {
    harness.at(0, events -> list(events, 4));
    requestAt(10, 0);
    int worker = harness.sentTo(0);
    harness.at(15, events -> harness.attemptEnds(events, notLoaded(0, worker)));
    assertThat(harness.count("load function 0")).isEqualTo(1);
    harness.until(1000);
    assertThat(releasedAtLimit(1010)).isEmpty();
    harness.at(1020, events -> loadFailed(events, worker, 0, AttemptOutcome.FAILED));
    assertThat(releasedAtLimit(1030)).containsExactly(0);
  }
}
