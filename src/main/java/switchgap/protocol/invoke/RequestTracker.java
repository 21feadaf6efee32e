package switchgap.protocol.invoke;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.RouterCore;

/**
 * Bounds the requests that are pending at a time and counts how requests ended. Safe from any
 * thread.
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

  /** Counts one more pending request; returns false where as many are pending as may be. */
  boolean tryAcquire() {
    if (pending.incrementAndGet() > maxPending) {
      pending.decrementAndGet();
      return false;
    }
    return true;
  }

  /** A request that was counted as pending was not accepted after all. */
  void release() {
    pending.decrementAndGet();
  }

  /** Cancels a request whose client has left, unless it has ended; on the event loop. */
  void cancel(RouterCore core, PendingRequest request) {
    if (request.state() == PendingRequest.State.PENDING) {
      core.requestCancelled(request);
      release();
    }
  }

  /** A pending request has its response. */
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

  /** The deadline of a pending request passed without a response. */
  void deadlineMissed() {
    release();
    overdue.incrementAndGet();
  }

  /** A response that was counted already came too late to be written. */
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
