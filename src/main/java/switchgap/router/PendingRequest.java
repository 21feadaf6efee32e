package switchgap.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import switchgap.admission.ServiceLevel;

/**
 * A client's request as the router holds it, with its state. All times are durations since the
 * router's start. What the client sent is immutable; the rest belongs to the event loop.
 */
public final class PendingRequest {
  /** State of a request; all but the first are final. */
  public enum State {
    /** Offered or accepted, and without its response. */
    PENDING,
    /** It has its response. */
    ANSWERED,
    /** Its client disconnected or cancelled it. */
    CANCELLED,
    /** Its deadline passed without a response. */
    DEADLINE_EXCEEDED,
    /** It was never accepted. */
    NOT_ACCEPTED
  }

  /** The tenant of a request that has none. */
  public static final int NO_TENANT = -1;

  /** The index of a request that the policy does not know. */
  private static final int NO_INDEX = -1;

  private final RequestSpec spec;
  private final ResponseListener listener;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private State state = State.PENDING;
  private ServiceLevel shedBy;
  private boolean answerSent;
  private Duration acceptedAt = Duration.ZERO;
  private int index = NO_INDEX;

  PendingRequest(RequestSpec spec, ResponseListener listener) {
    this.spec = spec;
    this.listener = listener;
  }

  /** Builds a request; by default of the first class, without tenant, hint, key and body. */
  public static PendingRequestBuilder builder(
      String id, String function, Duration deadline, ResponseListener listener) {
    return new PendingRequestBuilder(id, function, deadline, listener);
  }

  /** Its id, unique among the requests in flight. */
  public String id() {
    return spec.id();
  }

  /** Name of the function that it invokes. */
  public String function() {
    return spec.function();
  }

  /** Index of its class in the settings. */
  public int requestClass() {
    return spec.requestClass();
  }

  /** Index of its tenant in the settings, or {@link #NO_TENANT}. */
  public int tenant() {
    return spec.tenant();
  }

  /** When the client stops waiting. */
  public Duration deadline() {
    return spec.deadline();
  }

  /** How long it should run, or null. */
  public Duration durationHint() {
    return spec.durationHint();
  }

  /** The key by which workers recognize a retry, or null. */
  public String idempotencyKey() {
    return spec.idempotencyKey();
  }

  /** Media type of the body, or null. */
  public String contentType() {
    return spec.contentType();
  }

  /** The body as received; not to be changed. */
  public byte[] body() {
    return spec.body();
  }

  /** Memory of one replica of its function, in MB. */
  public double memoryMb() {
    return spec.memoryMb();
  }

  /** Requests that one replica of its function runs at a time. */
  public int slots() {
    return spec.slots();
  }

  /** Notified of its end. */
  public ResponseListener listener() {
    return listener;
  }

  /** The service level that rejected it; null where none did. */
  public ServiceLevel shedBy() {
    return shedBy;
  }

  /** Its state now. */
  public State state() {
    return state;
  }

  /** Whether it has no final state yet. */
  public boolean isPending() {
    return state == State.PENDING;
  }

  /**
   * Whether anybody still waits for its response; if not, attempts that were not sent yet need not
   * be.
   */
  public boolean isAwaited() {
    return isPending() && !listener.isDisconnected();
  }

  /** Its attempts so far, by number; a view that can't be changed. */
  public List<Attempt> attempts() {
    return Collections.unmodifiableList(attempts);
  }

  /** Adds its next attempt, at a worker. */
  Attempt addAttempt(WorkerEntry worker, Duration now) {
    Attempt attempt = new Attempt(this, attempts.size(), worker, now);
    attempts.add(attempt);
    return attempt;
  }

  /** The core accepted it. */
  void accept(Duration now) {
    acceptedAt = now;
  }

  /** When the core accepted it; zero before. */
  Duration acceptedAt() {
    return acceptedAt;
  }

  /** It reached a final state. */
  void end(State finalState) {
    state = finalState;
  }

  /** A service level rejected it, which is its response. */
  void shed(ServiceLevel level) {
    shedBy = level;
    end(State.ANSWERED);
  }

  /** Its final answer goes to its connection; for {@link InvariantMonitor} alone. */
  void recordAnswerSent() {
    answerSent = true;
  }

  /** Whether its final answer went to its connection. */
  boolean isAnswerSent() {
    return answerSent;
  }

  /** The policy knows it by this index from now on. */
  void indexAs(int policyIndex) {
    index = policyIndex;
  }

  /** The policy does not know it any more. */
  void forgetIndex() {
    index = NO_INDEX;
  }

  /** Whether the policy knows it. */
  boolean hasIndex() {
    return index != NO_INDEX;
  }

  /** Index by which the policy calls it; below 0 where it does not know it. */
  int index() {
    return index;
  }
}
