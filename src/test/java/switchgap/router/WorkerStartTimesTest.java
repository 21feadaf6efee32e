package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.WorkerState;
import switchgap.server.platform.TestPlatformSettings;
import switchgap.testing.EndpointUpdateBuilder;
import switchgap.testing.RecordingProxy;

/**
 * Tests the validation of the listed start times of workers. The wall clocks of the router and of
 * the platform may step, so a listed start time is used only if it is consistent with the time at
 * which the router was first notified of the worker.
 */
class WorkerStartTimesTest {
  private static final Duration ONE_HOUR = Duration.ofHours(1);

  private final Map<Integer, Duration> startsByWorker = new HashMap<>();
  private final RouterCore core;

  WorkerStartTimesTest() throws IOException {
    PolicyEvents policyEvents = RecordingProxy.recording(PolicyEvents.class, this::recordStart);
    core =
        new RouterCore(
            TestPlatformSettings.routerSettings(),
            (now, batch, actions) -> batch.deliverTo(policyEvents),
            RecordingProxy.ignoring(WorkerTransport.class),
            new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10));
  }

  private void recordStart(Object event) {
    if (event instanceof EndpointEntry entry) {
      startsByWorker.put(entry.worker(), entry.startedAt());
    }
  }

  private static EndpointUpdate worker(String name, WorkerState state, Duration startedAt) {
    return EndpointUpdateBuilder.worker(name).state(state).startedAt(startedAt).build();
  }

  private static EndpointUpdate readyWorker(String name, Duration startedAt) {
    return worker(name, WorkerState.READY, startedAt);
  }

  private void receiveList(Duration now, EndpointUpdate... updates) {
    core.tick(now, List.of(router -> router.endpointListReceived(true, List.of(updates))));
  }

  private void receiveChanges(Duration now, EndpointUpdate... updates) {
    core.tick(now, List.of(router -> router.endpointListReceived(false, List.of(updates))));
  }

  private static Duration seconds(long seconds) {
    return Duration.ofSeconds(seconds);
  }

  @Test
  void startOfANewWorkerIsNotBeforeItsFirstListing() {
    receiveList(seconds(0), readyWorker("old", ONE_HOUR.negated()));

    receiveChanges(seconds(30), readyWorker("new", ONE_HOUR.negated()));

    assertThat(startsByWorker).containsEntry(0, ONE_HOUR.negated()).containsEntry(1, seconds(30));
  }

  @Test
  void listedStartInTheFutureIsReplacedByTheCurrentTime() {
    receiveList(seconds(0), readyWorker("first", ONE_HOUR));

    receiveChanges(seconds(30), readyWorker("new", ONE_HOUR));

    assertThat(startsByWorker).containsEntry(0, seconds(0)).containsEntry(1, seconds(30));
  }

  @Test
  void plausibleListedStartIsUsed() {
    receiveList(seconds(0), readyWorker("first", seconds(-2)));

    receiveChanges(seconds(30), readyWorker("new", seconds(29)));

    assertThat(startsByWorker).containsEntry(0, seconds(-2)).containsEntry(1, seconds(29));
  }

  @Test
  void startChangesOnlyWhenTheProcessIsReplaced() {
    receiveList(seconds(0));
    receiveChanges(seconds(30), readyWorker("new", ONE_HOUR.negated()));
    receiveChanges(seconds(31), worker("new", WorkerState.DRAINING, ONE_HOUR.negated()));
    receiveList(seconds(32), readyWorker("new", ONE_HOUR.negated()));
    assertThat(startsByWorker).containsEntry(0, seconds(30));

    receiveChanges(seconds(33), readyWorker("new", seconds(-3599)));

    assertThat(startsByWorker)
        .as("start time after the process was replaced")
        .containsEntry(0, seconds(33));
  }
}
