package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.PolicyActions;

/**
 * Executes the policy's decisions in the order in which the policy makes them, and resolves its
 * indices to requests, workers and functions. Confined to the event loop thread.
 */
final class ActionExecutor implements PolicyActions {
  private final CoreContext context;
  private final WorkerTransport transport;
  private final RequestLifecycle requests;
  private final AttemptLifecycle attempts;
  private final WorkerCommandLifecycle commands;
  private final EndpointTable endpoints;
  private final NameIndex functions;

  ActionExecutor(
      CoreContext context,
      WorkerTransport transport,
      RequestLifecycle requests,
      AttemptLifecycle attempts,
      WorkerCommandLifecycle commands,
      EndpointTable endpoints,
      NameIndex functions) {
    this.context = context;
    this.transport = transport;
    this.requests = requests;
    this.attempts = attempts;
    this.commands = commands;
    this.endpoints = endpoints;
    this.functions = functions;
  }

  @Override
  public void startAttempt(int request, int worker, Duration timeout) {
    attempts.start(requests.get(request), endpoints.get(worker), timeout);
  }

  @Override
  public void limitSends(int worker, Duration until) {
    endpoints.get(worker).limitSends(until);
  }

  @Override
  public void limitAttempts(int request, Duration until) {
    requests.get(request).limitAttempts(until);
  }

  @Override
  public void cancelAttempt(int request, int number) {
    attempts.cancel(requests.get(request).attempts().get(number));
  }

  @Override
  public void reject(int request, Duration retryAfter) {
    requests.respond(requests.get(request), Response.rejected(retryAfter));
  }

  @Override
  public void fail(int request) {
    requests.respond(requests.get(request), Response.failed());
  }

  @Override
  public void load(int worker, int function) {
    commands.requestReplicas(endpoints.get(worker), function, 1);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    commands.requestReplicas(endpoints.get(worker), function, 0);
  }

  @Override
  public void unload(int worker, int function) {
    commands.unload(endpoints.get(worker), function);
  }

  @Override
  public void probe(int worker) {
    commands.probe(endpoints.get(worker));
  }

  @Override
  public void scheduleWakeUp(Duration delay, long token) {
    context
        .timers()
        .schedule(context.now().plus(delay), () -> context.policyEvents().wakeUp(token));
  }

  @Override
  public void subscribeToEndpoints() {
    transport.requestEndpointList();
  }

  @Override
  public void releaseRequest(int request) {
    requests.release(request);
  }

  @Override
  public void releaseFunction(int function) {
    functions.release(function);
  }

  @Override
  public void releaseWorker(int worker) {
    endpoints.release(worker);
  }
}
