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

  private final String id;
  private final String function;
  private final int requestClass;
  private final int tenant;
  private final Duration deadline;
  private final Duration durationHint;
  private final String idempotencyKey;
  private final String contentType;
  private final byte[] body;
  private final double memoryMb;
  private final int slots;
  private final ResponseListener listener;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private State state = State.PENDING;
  private ServiceLevel shedBy;
  private boolean answerSent;
  private Duration acceptedAt = Duration.ZERO;
  private int index = NO_INDEX;

  private PendingRequest(Builder builder) {
    this.id = builder.id;
    this.function = builder.function;
    this.requestClass = builder.requestClass;
    this.tenant = builder.tenant;
    this.deadline = builder.deadline;
    this.durationHint = builder.durationHint;
    this.idempotencyKey = builder.idempotencyKey;
    this.contentType = builder.contentType;
    this.body = builder.body;
    this.memoryMb = builder.memoryMb;
    this.slots = builder.slots;
    this.listener = builder.listener;
  }

  /** Builds a request; by default of the first class, without tenant, hint, key and body. */
  public static Builder builder(
      String id, String function, Duration deadline, ResponseListener listener) {
    return new Builder(id, function, deadline, listener);
  }

  /** Its id, unique among the requests in flight. */
  public String id() {
    return id;
  }

  /** Name of the function that it invokes. */
  public String function() {
    return function;
  }

  /** Index of its class in the settings. */
  public int requestClass() {
    return requestClass;
  }

  /** Index of its tenant in the settings, or {@link #NO_TENANT}. */
  public int tenant() {
    return tenant;
  }

  /** When the client stops waiting. */
  public Duration deadline() {
    return deadline;
  }

  /** How long it should run, or null. */
  public Duration durationHint() {
    return durationHint;
  }

  /** The key by which workers recognize a retry, or null. */
  public String idempotencyKey() {
    return idempotencyKey;
  }

  /** Media type of the body, or null. */
  public String contentType() {
    return contentType;
  }

  /** The body as received; not to be changed. */
  public byte[] body() {
    return body;
  }

  /** Memory of one replica of its function, in MB. */
  public double memoryMb() {
    return memoryMb;
  }

  /** Requests that one replica of its function runs at a time. */
  public int slots() {
    return slots;
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

  /** Builds a request from what a client sent. */
  public static final class Builder {
    private final String id;
    private final String function;
    private final Duration deadline;
    private final ResponseListener listener;
    private int requestClass;
    private int tenant = NO_TENANT;
    private Duration durationHint;
    private String idempotencyKey;
    private String contentType;
    private byte[] body = {};
    private double memoryMb;
    private int slots = 1;

    private Builder(String id, String function, Duration deadline, ResponseListener listener) {
      this.id = id;
      this.function = function;
      this.deadline = deadline;
      this.listener = listener;
    }

    /** Index of its class in the settings. */
    public Builder requestClass(int index) {
      requestClass = index;
      return this;
    }

    /** Index of its tenant in the settings, or {@link #NO_TENANT}. */
    public Builder tenant(int index) {
      tenant = index;
      return this;
    }

    /** How long it should run, null for no hint. */
    public Builder durationHint(Duration hint) {
      durationHint = hint;
      return this;
    }

    /** The key by which workers recognize a retry, null for none. */
    public Builder idempotencyKey(String key) {
      idempotencyKey = key;
      return this;
    }

    /** Its body with the media type, which may be null. */
    public Builder payload(String type, byte[] bytes) {
      contentType = type;
      body = bytes;
      return this;
    }

    /** Memory in MB and concurrent requests of one replica of its function. */
    public Builder replica(double memory, int concurrentRequests) {
      memoryMb = memory;
      slots = concurrentRequests;
      return this;
    }

    /** The request. */
    public PendingRequest build() {
      return new PendingRequest(this);
    }
  }
}
