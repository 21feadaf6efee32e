package switchgap.testing;

import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;

/** A policy that ignores every event. */
public final class IgnoredEvents implements PolicyEvents {
  @Override
  public void requestArrived(RequestArrival arrival) {}

  @Override
  public void clientDisconnected(int request) {}

  @Override
  public void attemptEnded(AttemptResult result) {}

  @Override
  public void loadCommandEnded(LoadCommandResult result) {}

  @Override
  public void probeEnded(ProbeResult result) {}

  @Override
  public void endpointListStarted(boolean complete) {}

  @Override
  public void endpointListed(EndpointEntry entry) {}

  @Override
  public void endpointListEnded() {}

  @Override
  public void endpointListFailed() {}

  @Override
  public void wakeUp(long token) {}
}
