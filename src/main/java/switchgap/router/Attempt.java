package switchgap.router;

import java.time.Duration;

/**
 * One attempt of a request at a worker; it ends once, by whichever comes first of its response and
 * its timeout.
 */
public final class Attempt {
  public final PendingRequest request;

  /** Counts the request's attempts from 0. */
  public final int number;

  public final WorkerEntry worker;

  /** State that the transport keeps with it; the core does not read it. */
  public volatile Object attachment;

  final Duration sentAt;
  boolean ended;
  boolean mayHaveExecuted = true;
  TimerQueue.Timer timeout;

  /** The attempt with this number, at a worker, from a time since the start on. */
  public Attempt(PendingRequest request, int number, WorkerEntry worker, Duration sentAt) {
    this.request = request;
    this.number = number;
    this.worker = worker;
    this.sentAt = sentAt;
  }

  /** Its name on the wire: the request's id and its number. */
  public String attemptId() {
    return request.id + "." + number;
  }
}
