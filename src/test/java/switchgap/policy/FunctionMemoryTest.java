package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.listAllStartedAt;
import static switchgap.policy.TestEvents.loadFailed;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.AttemptOutcome;

/** The memory that the policy uses for each function. */
class FunctionMemoryTest {
  private static final int MANY_WORKERS = 3200;
  private static final int FUNCTIONS = 100;

  /** Upper bound of the elements for one function, however large the fleet is. */
  private static final long MAX_ELEMENTS = 60;

  private final PolicyHarness harness = new PolicyHarness(settings());

  private static TestSettings settings() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 100;
    return settings;
  }

  /** Requests a function that no worker knows: the attempt finds no replica, and loads fail. */
  private void requestUnknown(int function) {
    int time = 100 * (1 + function);
    List<Integer> loadedAt = new ArrayList<>();
    harness.onLoad((loadingWorker, loadedFunction) -> loadedAt.add(loadingWorker));
    harness.at(time, events -> harness.requestArrives(events, function, function));
    int worker = harness.sentTo(function);
    if (worker >= 0) {
      harness.at(time + 1, events -> harness.attemptEnds(events, notLoaded(function, worker)));
    }
    for (int loadingWorker : List.copyOf(loadedAt)) {
      harness.at(
          time + 2, events -> loadFailed(events, loadingWorker, function, AttemptOutcome.FAILED));
    }
    harness.until(time + 90);
  }

  private long elementsPerFunction() {
    requestUnknown(0);
    long elementsBefore = harness.reachableElements();
    for (int function = 1; function <= FUNCTIONS; function++) {
      requestUnknown(function);
    }
    return (harness.reachableElements() - elementsBefore) / FUNCTIONS;
  }

  /**
   * Guards against state of the whole fleet for each function, which exhausts the heap (case 6).
   */
  @ParameterizedTest
  @ValueSource(ints = {12, MANY_WORKERS})
  void functionNeedsAsMuchMemoryInLargeFleetAsInSmallOne(int workers) {
    harness.at(0, events -> list(events, workers));
    assertThat(elementsPerFunction()).isLessThan(MAX_ELEMENTS);
  }

  /** Guards against a replica state for each worker that restarts and each function (case 6). */
  @Test
  void restartOfAllWorkersAddsNoMemoryForEachFunction() {
    harness.at(0, events -> list(events, MANY_WORKERS));
    elementsPerFunction();
    long elementsBefore = harness.reachableElements();
    int now = 100 * (FUNCTIONS + 2);
    harness.at(now, events -> listAllStartedAt(events, MANY_WORKERS, PolicyHarness.millis(now)));
    long addedElements = harness.reachableElements() - elementsBefore;
    assertThat(addedElements).isLessThan(FUNCTIONS * MAX_ELEMENTS);
  }
}
