package switchgap.router;

import java.time.Duration;

/** Builds a request from what a client sent. */
public final class PendingRequestBuilder {
  private final String id;
  private final String function;
  private final Duration deadline;
  private final ResponseListener listener;
  private int requestClass;
  private int tenant = PendingRequest.NO_TENANT;
  private Duration durationHint;
  private String idempotencyKey;
  private String contentType;
  private byte[] body = {};
  private double memoryMb;
  private int slots = 1;

  PendingRequestBuilder(String id, String function, Duration deadline, ResponseListener listener) {
    this.id = id;
    this.function = function;
    this.deadline = deadline;
    this.listener = listener;
  }

  /** Index of its class in the settings. */
  public PendingRequestBuilder requestClass(int index) {
    requestClass = index;
    return this;
  }

  /** Index of its tenant in the settings, or {@link PendingRequest#NO_TENANT}. */
  public PendingRequestBuilder tenant(int index) {
    tenant = index;
    return this;
  }

  /** How long it should run, null for no hint. */
  public PendingRequestBuilder durationHint(Duration hint) {
    durationHint = hint;
    return this;
  }

  /** The key by which workers recognize a retry, null for none. */
  public PendingRequestBuilder idempotencyKey(String key) {
    idempotencyKey = key;
    return this;
  }

  /** Its body with the media type, which may be null. */
  public PendingRequestBuilder payload(String type, byte[] bytes) {
    contentType = type;
    body = bytes;
    return this;
  }

  /** Memory in MB and concurrent requests of one replica of its function. */
  public PendingRequestBuilder replica(double memory, int concurrentRequests) {
    memoryMb = memory;
    slots = concurrentRequests;
    return this;
  }

  /** The request. */
  public PendingRequest build() {
    RequestSpec spec =
        new RequestSpec(
            id,
            function,
            requestClass,
            tenant,
            deadline,
            durationHint,
            idempotencyKey,
            contentType,
            body,
            memoryMb,
            slots);
    return new PendingRequest(spec, listener);
  }
}
