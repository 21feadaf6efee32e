package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;

/** Builds the records of an artificial run; times are milliseconds since its start. */
final class RunBuilder {
  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(1000);
  private static final int REQUEST_TIMEOUT_MILLIS = 500;

  private final SoakRecords records = new SoakRecords();

  static long toNanos(long millis) {
    return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  SoakRecords build() {
    return records;
  }

  /** Starts a request to router 0, sent at 0 ms with a timeout of 500 ms. */
  RequestBuilder request(String id) {
    return new RequestBuilder(id);
  }

  /** Starts an attempt; adds a warm worker of this name if there is none. */
  AttemptBuilder attempt(String requestId, String worker) {
    return new AttemptBuilder(requestId, worker);
  }

  RunBuilder workerStarted(String worker, long millis) {
    records.addWorker(WorkerTimeline.startedAt(worker, toNanos(millis)));
    return this;
  }

  RunBuilder workerDraining(String worker, long millis) {
    records.worker(worker).markDraining(toNanos(millis));
    return this;
  }

  RunBuilder outage(OutageCause cause, int router, long fromMillis, long untilMillis) {
    records.beginOutage(cause, router, toNanos(fromMillis)).end(toNanos(untilMillis));
    return this;
  }

  RunBuilder processFault(String description) {
    records.addProcessFault(description);
    return this;
  }

  /** Builds a request as observed by its client. */
  final class RequestBuilder {
    private final String id;
    private int router;
    private boolean idempotent = true;

    private RequestBuilder(String id) {
      this.id = id;
    }

    RequestBuilder toRouter(int index) {
      router = index;
      return this;
    }

    RequestBuilder nonIdempotent() {
      idempotent = false;
      return this;
    }

    RunBuilder withoutResponse() {
      send();
      return RunBuilder.this;
    }

    RunBuilder servedAt(long... millis) {
      ObservedRequest request = send();
      for (long time : millis) {
        request.addResponse(ObservedRequest.Outcome.SERVED, true, toNanos(time));
      }
      return RunBuilder.this;
    }

    RunBuilder rejectedAt(long millis) {
      send().addResponse(ObservedRequest.Outcome.REJECTED, true, toNanos(millis));
      return RunBuilder.this;
    }

    RunBuilder connectionLostAt(long millis) {
      send().markConnectionLost(toNanos(millis));
      return RunBuilder.this;
    }

    RunBuilder cancelledAt(long millis) {
      send().markCancelled(toNanos(millis));
      return RunBuilder.this;
    }

    private ObservedRequest send() {
      RouterIncarnation destination = new RouterIncarnation(router, 1);
      ObservedRequest request =
          new ObservedRequest(id, destination, idempotent, REQUEST_TIMEOUT_MILLIS, false);
      request.markSent(toNanos(0));
      records.addRequest(request);
      return request;
    }
  }

  /** Builds an attempt as observed by its worker. */
  final class AttemptBuilder {
    private final String requestId;
    private final String worker;
    private long timeoutMillis;

    private AttemptBuilder(String requestId, String worker) {
      this.requestId = requestId;
      this.worker = worker;
    }

    AttemptBuilder withTimeout(long millis) {
      timeoutMillis = millis;
      return this;
    }

    RunBuilder executedAt(long millis) {
      if (records.worker(worker) == null) {
        records.addWorker(WorkerTimeline.warm(worker));
      }
      records.addAttempt(
          new ReceivedAttempt(requestId, worker, toNanos(millis), timeoutMillis, true));
      return RunBuilder.this;
    }
  }
}
