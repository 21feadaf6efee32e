package switchgap.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import switchgap.admission.ServiceLevel;

/**
 * A client's request and its state in the router. All times are durations since the router's start.
 * The data that the client sent is immutable; all other state is confined to the event loop thread.
 */
public final class PendingRequest {
  /** State of a request; all states except {@link #PENDING} are final. */
  public enum State {
    /** The request has been offered or accepted and has no response yet. */
    PENDING,
    /** The request has its response. */
    ANSWERED,
    /** The client disconnected or cancelled the request. */
    CANCELLED,
    /** The deadline passed without a response. */
    DEADLINE_EXCEEDED,
    /** The core did not accept the request. */
    NOT_ACCEPTED
  }

  /** The tenant index of a request without a tenant. */
  public static final int NO_TENANT = -1;

  /** The index of a request that the policy does not track. */
  private static final int NO_INDEX = -1;

  private final RequestSpec spec;
  private final ResponseListener listener;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private State state = State.PENDING;
  private ServiceLevel shedBy;
  private boolean isAnswerSent;
  private Duration acceptedAt = Duration.ZERO;
  private int index = NO_INDEX;

  /** Written on the event loop; writer threads read it as well. */
  private volatile Duration attemptLimit;

  PendingRequest(RequestSpec spec, ResponseListener listener) {
    this.spec = spec;
    this.listener = listener;
  }

  /**
   * Returns a builder. By default a request is of the first request class and has no tenant,
   * duration hint, idempotency key or body.
   */
  public static PendingRequestBuilder builder(
      String id, String function, Duration deadline, ResponseListener listener) {
    return new PendingRequestBuilder(id, function, deadline, listener);
  }

  /** Its id, unique among the requests in flight. */
  public String id() {
    return spec.id();
  }

  /** Name of the invoked function. */
  public String function() {
    return spec.function();
  }

  /** Index of the request class in the settings. */
  public int requestClass() {
    return spec.requestClass();
  }

  /** Index of the tenant in the settings, or {@link #NO_TENANT}. */
  public int tenant() {
    return spec.tenant();
  }

  /** The time at which the client stops waiting. */
  public Duration deadline() {
    return spec.deadline();
  }

  /** The expected execution time, or null if the client sent no hint. */
  public Duration durationHint() {
    return spec.durationHint();
  }

  /** The key by which workers detect repeated executions, or null. */
  public String idempotencyKey() {
    return spec.idempotencyKey();
  }

  /** Media type of the body, or null. */
  public String contentType() {
    return spec.contentType();
  }

  /** The body as received. Callers must not modify it. */
  public byte[] body() {
    return spec.body();
  }

  /** Memory of one replica of the function, in MB. */
  public double memoryMb() {
    return spec.memoryMb();
  }

  /** Maximum concurrent requests of one replica of the function. */
  public int slots() {
    return spec.slots();
  }

  /** The listener that is notified when the request ends. */
  public ResponseListener listener() {
    return listener;
  }

  /** The service level that rejected the request, or null if none did. */
  public ServiceLevel shedBy() {
    return shedBy;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** Whether the request has not reached a final state. */
  public boolean isPending() {
    return state == State.PENDING;
  }

  /**
   * Whether a client still waits for the response. If not, attempts that have not been sent are
   * dropped.
   */
  public boolean isAwaited() {
    return isPending() && !listener.isDisconnected();
  }

  /** An unmodifiable view of the attempts so far, by number. */
  public List<Attempt> attempts() {
    return Collections.unmodifiableList(attempts);
  }

  Attempt addAttempt(WorkerEntry worker, Duration now) {
    Attempt attempt = new Attempt(this, attempts.size(), worker, now);
    attempts.add(attempt);
    return attempt;
  }

  /**
   * Sets the time from which no attempt of the request may be written any more, because it could
   * then be executed twice; null for no limit.
   */
  void limitAttempts(Duration until) {
    attemptLimit = until;
  }

  /** The time from which no attempt may be written any more; null for no limit. */
  public Duration attemptLimit() {
    return attemptLimit;
  }

  /** Whether an attempt may be written at this time. */
  public boolean mayAttemptAt(Duration now) {
    Duration limit = attemptLimit;
    return limit == null || now.compareTo(limit) < 0;
  }

  /** Records when the core accepted the request. */
  void accept(Duration now) {
    acceptedAt = now;
  }

  /** The time at which the core accepted the request; zero before. */
  Duration acceptedAt() {
    return acceptedAt;
  }

  /** Sets the final state. */
  void end(State finalState) {
    state = finalState;
  }

  /** Records that a service level rejected the request; the rejection is its final response. */
  void shed(ServiceLevel level) {
    shedBy = level;
    end(State.ANSWERED);
  }

  /**
   * Records that the final answer is passed to the connection. Used by {@link InvariantMonitor}
   * only.
   */
  void recordAnswerSent() {
    isAnswerSent = true;
  }

  boolean isAnswerSent() {
    return isAnswerSent;
  }

  void assignIndex(int policyIndex) {
    index = policyIndex;
  }

  void clearIndex() {
    index = NO_INDEX;
  }

  /** Whether the policy tracks the request. */
  boolean hasIndex() {
    return index != NO_INDEX;
  }

  /** The policy's index of the request; negative if the policy does not track it. */
  int index() {
    return index;
  }
}
