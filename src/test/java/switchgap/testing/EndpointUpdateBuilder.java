package switchgap.testing;

import java.time.Duration;
import switchgap.policy.api.WorkerState;
import switchgap.router.EndpointUpdate;

/** Builds an update of an endpoint list; by default a ready worker with an unknown start time. */
public final class EndpointUpdateBuilder {
  private final String name;
  private String host = "127.0.0.1";
  private int port = 1;
  private WorkerState state = WorkerState.READY;
  private Duration startedAt;

  private EndpointUpdateBuilder(String name) {
    this.name = name;
  }

  public static EndpointUpdateBuilder worker(String name) {
    return new EndpointUpdateBuilder(name);
  }

  public EndpointUpdateBuilder address(String workerHost, int workerPort) {
    host = workerHost;
    port = workerPort;
    return this;
  }

  public EndpointUpdateBuilder state(WorkerState workerState) {
    state = workerState;
    return this;
  }

  public EndpointUpdateBuilder startedAt(Duration start) {
    startedAt = start;
    return this;
  }

  public EndpointUpdate build() {
    return new EndpointUpdate(name, host, port, state, 0, 0, 0, 1, startedAt);
  }
}
