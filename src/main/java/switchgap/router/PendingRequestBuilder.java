package switchgap.router;

import java.time.Duration;

/** Builds a request from the data that a client sent. */
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

  /** Sets the index of the request class in the settings; 0 by default. */
  public PendingRequestBuilder requestClass(int index) {
    requestClass = index;
    return this;
  }

  /** Sets the index of the tenant in the settings; {@link PendingRequest#NO_TENANT} by default. */
  public PendingRequestBuilder tenant(int index) {
    tenant = index;
    return this;
  }

  /** Sets the expected execution time; null for no hint. */
  public PendingRequestBuilder durationHint(Duration hint) {
    durationHint = hint;
    return this;
  }

  /** Sets the key by which workers detect repeated executions; null for none. */
  public PendingRequestBuilder idempotencyKey(String key) {
    idempotencyKey = key;
    return this;
  }

  /** Sets the body and its media type, which may be null. */
  public PendingRequestBuilder payload(String type, byte[] bytes) {
    contentType = type;
    body = bytes;
    return this;
  }

  /** Sets the memory in MB and the maximum concurrent requests of one replica of the function. */
  public PendingRequestBuilder replica(double memory, int concurrentRequests) {
    memoryMb = memory;
    slots = concurrentRequests;
    return this;
  }

  /** Creates the request in state PENDING. */
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
