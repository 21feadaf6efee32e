package switchgap.policy;

import java.time.Duration;
import switchgap.policy.api.PolicyActions;

/** Actions that do nothing; subclasses override those that they need. */
class NoActions implements PolicyActions {
  @Override
  public void startAttempt(int request, int worker, Duration timeout) {}

  @Override
  public void cancelAttempt(int request, int attempt) {}

  @Override
  public void reject(int request, Duration retryAfter) {}

  @Override
  public void fail(int request) {}

  @Override
  public void load(int worker, int function) {}

  @Override
  public void queryReplicas(int worker, int function) {}

  @Override
  public void unload(int worker, int function) {}

  @Override
  public void probe(int worker) {}

  @Override
  public void scheduleWakeUp(Duration delay, long token) {}

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void releaseRequest(int request) {}

  @Override
  public void releaseFunction(int function) {}

  @Override
  public void releaseWorker(int worker) {}
}
