package switchgap.policy;

import switchgap.policy.state.Function;
import switchgap.policy.state.PolicyState;

/** Bounds the number of replicas whose presumed state is stored, over all functions. */
final class ReplicaStateLimit {
  /** Number of stored states above which those of all functions are forgotten. */
  private static final int MAX_STORED_REPLICAS = 1 << 16;

  private final PolicyState state;

  ReplicaStateLimit(PolicyState state) {
    this.state = state;
  }

  /** Forgets the states of replicas if too many are stored. */
  void enforce() {
    long storedReplicas = 0;
    for (Function function : state.functions) {
      storedReplicas += function.storedReplicas();
    }
    if (storedReplicas > MAX_STORED_REPLICAS) {
      state.functions.forEach(Function::forgetReplicas);
    }
  }
}
