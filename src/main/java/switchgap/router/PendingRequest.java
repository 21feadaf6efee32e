package switchgap.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import switchgap.admission.ServiceLevel;

/**
 * A client's request as the router holds it, and how it stands. All times are spans since the
 * router's start. What a client sent is immutable; the rest belongs to the event loop.
 */
public final class PendingRequest {
  /** How a request stands. */
  public enum State {
    /** Offered or accepted, and without its response. */
    PENDING,
    /** It has its response. */
    ANSWERED,
    /** Its client went. */
    CLIENT_LEFT,
    /** Its deadline passed without a response. */
    OVERDUE,
    /** It was never accepted. */
    NOT_ACCEPTED
  }

  /** The tenant of a request that has none. */
  public static final int NO_TENANT = -1;

  /** The index of a request that the policy does not know. */
  static final int NO_INDEX = -1;

  public final String id;
  public final String function;

  /** Index of its class in the settings. */
  public final int requestClass;

  /** Index of its tenant in the settings, or {@link #NO_TENANT}. */
  public final int tenant;

  public final Duration deadline;

  /** How long it should run, or null. */
  public final Duration durationHint;

  /** The key by which workers know a repeat, or null. */
  public final String idempotencyKey;

  /** Media type of the body, or null. */
  public final String contentType;

  public final byte[] body;

  /** Memory of one replica of its function, in MB. */
  public final double memoryMb;

  /** Requests that one replica of its function runs at a time. */
  public final int slots;

  /** Whoever is told of the end. */
  public final ResponseListener listener;

  /** The reduced service level that rejected it, null where none did. */
  public ServiceLevel shedBy;

  State state = State.PENDING;

  /** Whether its final answer has been given to its connection; for the rule checker. */
  boolean answered;

  Duration acceptedAt = Duration.ZERO;
  int index = NO_INDEX;
  final List<Attempt> attempts = new ArrayList<>(1);

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

  /**
   * A request of the first class, without tenant, hint, key and body, until the builder is told
   * otherwise.
   */
  public static Builder builder(
      String id, String function, Duration deadline, ResponseListener listener) {
    return new Builder(id, function, deadline, listener);
  }

  /** Its attempts so far, to be read only. */
  public List<Attempt> attempts() {
    return Collections.unmodifiableList(attempts);
  }

  /** How it stands. */
  public State state() {
    return state;
  }

  /**
   * Whether anybody still waits for its response: what has not gone out for another one need not go
   * any more.
   */
  public boolean isAwaited() {
    return state == State.PENDING && !listener.isDisconnected();
  }

  /** Gathers what a client sent. */
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

    /** The key by which workers know a repeat, null for none. */
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
