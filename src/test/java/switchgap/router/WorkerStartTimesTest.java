package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.WorkerState;
import switchgap.server.platform.TestPlatformSettings;

/**
 * Wall clocks step, here and at the platform: a worker's stated start counts only as far as it
 * agrees with when this router was told of the worker.
 */
class WorkerStartTimesTest {
  private final Map<Integer, Duration> starts = new HashMap<>();
  private final RouterCore core;

  WorkerStartTimesTest() throws Exception {
    WorkerTransport transport = proxy(WorkerTransport.class, null);
    PolicyEvents events = proxy(PolicyEvents.class, starts);
    core =
        new RouterCore(
            TestPlatformSettings.routerSettings(),
            (now, batch, actions) -> batch.deliverTo(events),
            transport,
            new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10));
  }

  @SuppressWarnings("unchecked")
  private static <T> T proxy(Class<T> type, Map<Integer, Duration> starts) {
    return (T)
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (p, method, args) -> {
              if (args != null && args.length == 1 && args[0] instanceof EndpointEntry entry) {
                starts.put(entry.worker(), entry.startedAt());
              }
              return null;
            });
  }

  private static EndpointUpdate worker(String name, WorkerState state, Duration startedAt) {
    return new EndpointUpdate(name, "127.0.0.1", 1, state, 0, 0, 0, 1, startedAt);
  }

  private void told(Duration now, boolean complete, EndpointUpdate... updates) {
    core.tick(now, List.of(each -> each.endpointListReceived(complete, List.of(updates))));
  }

  private static Duration seconds(long seconds) {
    return Duration.ofSeconds(seconds);
  }

  @Test
  void aNewWorkerIsNoOlderThanThisRoutersList() {
    told(seconds(0), true, worker("old", WorkerState.READY, seconds(-3600)));
    told(seconds(30), false, worker("new", WorkerState.READY, seconds(-3600)));
    assertThat(starts).containsEntry(0, seconds(-3600)).containsEntry(1, seconds(30));
  }

  @Test
  void noWorkerStartsInTheFuture() {
    told(seconds(0), true, worker("known", WorkerState.READY, seconds(3600)));
    told(seconds(30), false, worker("new", WorkerState.READY, seconds(3600)));
    assertThat(starts).containsEntry(0, seconds(0)).containsEntry(1, seconds(30));
  }

  @Test
  void aStartThatCanBeIsTakenAsItIsStated() {
    told(seconds(0), true, worker("known", WorkerState.READY, seconds(-2)));
    told(seconds(30), false, worker("new", WorkerState.READY, seconds(29)));
    assertThat(starts).containsEntry(0, seconds(-2)).containsEntry(1, seconds(29));
  }

  @Test
  void theSameProcessKeepsItsStartInEachVersion() {
    told(seconds(0), true);
    told(seconds(30), false, worker("new", WorkerState.READY, seconds(-3600)));
    told(seconds(31), false, worker("new", WorkerState.DRAINING, seconds(-3600)));
    told(seconds(32), true, worker("new", WorkerState.READY, seconds(-3600)));
    assertThat(starts).containsEntry(0, seconds(30));
    told(seconds(33), false, worker("new", WorkerState.READY, seconds(-3599)));
    assertThat(starts).as("its process was replaced").containsEntry(0, seconds(33));
  }
}
