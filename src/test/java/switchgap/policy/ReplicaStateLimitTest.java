package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.state.Function;
import switchgap.policy.state.HistogramEdges;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Replica;
import switchgap.policy.state.SettingsSnapshot;
import switchgap.policy.state.Worker;

/** The bound of replicas whose presumed state is stored. */
class ReplicaStateLimitTest {
  private static final HistogramEdges EDGES =
      new HistogramEdges(
          new double[] {1}, new double[] {1}, new double[] {1}, new double[] {1}, new double[] {1});
  private static final int WORKERS = 3200;
  private static final int MAX_STORED_REPLICAS = 65_536;

  private final PolicyState state =
      new PolicyState(
          new SettingsSnapshot(new TestSettings(), EDGES), EDGES, 1, 0.1, Duration.ofMillis(5));
  private final ReplicaStateLimit limit = new ReplicaStateLimit(state);

  @BeforeEach
  void listWorkers() {
    state.beginTick(Duration.ofSeconds(1), new NoActions());
    state.endpointListStarted(true);
    for (int worker = 0; worker < WORKERS; worker++) {
      state.endpointListed(TestEvents.readyEndpoint(worker));
    }
    state.endpointListEnded();
  }

  private void storeAbsentReplicasOf(int functionCount) {
    for (int id = 0; id < functionCount; id++) {
      Duration deadline = Duration.ofSeconds(2);
      state.add(new RequestArrival(id, 0, 0, id, 50 + id, deadline, null, 100, 2));
      for (Worker worker : state.workers) {
        state.functions.get(id).replicaAt(worker).markAbsent();
      }
    }
  }

  private long storedReplicas() {
    return StreamSupport.stream(state.functions.spliterator(), false)
        .mapToLong(Function::storedReplicas)
        .sum();
  }

  /** Guards against replica states of many functions at many workers that exhaust the heap. */
  @Test
  void forgetsAllButPendingReplicasPastTheLimit() {
    storeAbsentReplicasOf(1 + MAX_STORED_REPLICAS / WORKERS);
    Function function = state.functions.get(0);
    Worker loading = state.workers.get(7);
    function.replicaAt(loading).loadStarted(state.now());
    limit.enforce();
    assertThat(storedReplicas()).isEqualTo(1);
    assertThat(state.replicaState(function, loading)).isEqualTo(Replica.State.LOADING);
    assertThat(state.replicaState(function, state.workers.get(8))).isEqualTo(Replica.State.UNKNOWN);
  }

  @Test
  void keepsAllReplicasWithinTheLimit() {
    storeAbsentReplicasOf(MAX_STORED_REPLICAS / WORKERS);
    long storedBefore = storedReplicas();
    limit.enforce();
    assertThat(storedReplicas()).isEqualTo(storedBefore);
  }
}
