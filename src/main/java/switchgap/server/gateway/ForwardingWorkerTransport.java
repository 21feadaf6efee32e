package switchgap.server.gateway;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/** Forwards all calls to another transport; subclasses override the calls that they intercept. */
abstract class ForwardingWorkerTransport implements WorkerTransport {
  private final WorkerTransport delegate;

  ForwardingWorkerTransport(WorkerTransport delegate) {
    this.delegate = delegate;
  }

  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    delegate.startAttempt(attempt, timeout);
  }

  @Override
  public boolean withdraw(Attempt attempt) {
    return delegate.withdraw(attempt);
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    return delegate.abandon(attempt);
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    delegate.requestReplicas(worker, function, replicas, command);
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {
    delegate.unload(worker, function, command);
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {
    delegate.probe(worker, command);
  }

  @Override
  public void abandon(WorkerCommand command) {
    delegate.abandon(command);
  }

  @Override
  public void stopAccepting(WorkerEntry worker, boolean permanently) {
    delegate.stopAccepting(worker, permanently);
  }

  @Override
  public void requestEndpointList() {
    delegate.requestEndpointList();
  }
}
