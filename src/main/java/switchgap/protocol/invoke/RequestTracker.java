package switchgap.protocol.invoke;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.RouterCore;

/**
 * Limits the number of pending requests and counts the outcomes of requests. Safe from any thread,
 * except for {@link #cancel}.
 */
final class RequestTracker {
  private final int maxPending;
  private final AtomicInteger pending = new AtomicInteger();
  private final AtomicLong succeeded = new AtomicLong();
  private final AtomicLong rejected = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final AtomicLong overdue = new AtomicLong();

  RequestTracker(int maxPending) {
    this.maxPending = maxPending;
  }

  /** Adds a pending request to the count; returns false if the limit is reached. */
  boolean tryAcquire() {
    if (pending.incrementAndGet() > maxPending) {
      pending.decrementAndGet();
      return false;
    }
    return true;
  }

  /** Decrements the number of pending requests, for one that was not accepted or was cancelled. */
  void release() {
    pending.decrementAndGet();
  }

  /** Cancels a request whose client no longer waits, unless it has ended; on the event loop. */
  void cancel(RouterCore core, PendingRequest request) {
    if (request.state() == PendingRequest.State.PENDING) {
      core.requestCancelled(request);
      release();
    }
  }

  /** Counts the response of a pending request. */
  void responded(Response response) {
    release();
    AtomicLong counter =
        switch (response.kind()) {
          case SUCCEEDED -> succeeded;
          case REJECTED -> rejected;
          case FAILED -> failed;
        };
    counter.incrementAndGet();
  }

  /** Counts a pending request whose deadline passed without a response. */
  void deadlineMissed() {
    release();
    overdue.incrementAndGet();
  }

  /** Counts a response that was too late to be written, after {@link #responded} counted it. */
  void responseSuppressed() {
    overdue.incrementAndGet();
  }

  int pending() {
    return pending.get();
  }

  int maxPending() {
    return maxPending;
  }

  RequestCounts counts() {
    return new RequestCounts(succeeded.get(), rejected.get(), failed.get(), overdue.get());
  }
}
