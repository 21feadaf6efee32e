package switchgap.protocol.inference;

import java.util.Map;
import switchgap.net.CloseCause;
import switchgap.net.HttpClientConnection;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.WorkerEntry;

/**
 * One exchange with a worker. It ends once: with exactly one call of {@link #notSent}, {@link
 * #replied} and {@link #lost}, or with none where it was abandoned. Its lock guards its state,
 * since the event loop, writer threads and selector threads all change it.
 *
 * <p>It shares no code with the exchange of the RESP protocol: that one belongs to the event loop
 * alone, needs no lock, and shares its connection with others; this one has its connection to
 * itself.
 */
abstract class InferenceExchange implements HttpClientConnection.ResponseHandler {
  /** The deadline of an exchange that may wait for any time. */
  static final long NO_DEADLINE = Long.MAX_VALUE;

  private final InferenceRequest request;
  private final WorkerEntry worker;
  private final HttpConnectionPool pool;
  private final long deadlineNanos;
  private ExchangeState state = ExchangeState.WAITING;
  private HttpClientConnection connection; // null unless in flight, or ended in flight

  /**
   * An exchange that waits. Its pool is known before it is submitted, since it may be abandoned
   * before that.
   *
   * @param deadlineNanos System.nanoTime after which it is not sent any more, or {@link
   *     #NO_DEADLINE}; guards against a pause of the process, in which it may have waited past its
   *     timeout
   */
  InferenceExchange(
      WorkerEntry worker, HttpConnectionPool pool, InferenceRequest request, long deadlineNanos) {
    this.worker = worker;
    this.pool = pool;
    this.request = request;
    this.deadlineNanos = deadlineNanos;
  }

  /** It ended and no byte of it was sent. */
  abstract void notSent(AttemptOutcome outcome);

  /** The worker replied; header names are in lower case. */
  abstract void replied(int status, Map<String, String> headers, byte[] body);

  /** Its connection was lost after bytes of it may have been sent. */
  abstract void lost();

  /** Submits it to its pool; on the event loop or a writer thread. */
  final void submit() {
    pool.submit(this);
  }

  private synchronized boolean transition(ExchangeState next) {
    boolean allowed = state.mayBecome(next);
    if (allowed) {
      state = next;
    }
    return allowed;
  }

  /**
   * Takes a connection, unless it is too late: what waited here while its worker began to drain
   * must not be sent.
   */
  synchronized boolean assign(HttpClientConnection free) {
    if (!maySend() || !transition(ExchangeState.IN_FLIGHT)) {
      return false;
    }
    connection = free;
    return true;
  }

  /** Whether it may still be sent: its worker accepts requests, and its deadline has not passed. */
  final synchronized boolean maySend() {
    return worker.isAccepting()
        && (deadlineNanos == NO_DEADLINE || System.nanoTime() - deadlineNanos < 0);
  }

  /** Sends its request on the connection it was assigned; returns false where no byte was sent. */
  final boolean sendOn(HttpClientConnection assigned) {
    return assigned.send(request.method(), request.path(), request.headers(), request.body(), this);
  }

  /**
   * Its connection took no byte: it waits again. Returns false where it was abandoned meanwhile.
   */
  final synchronized boolean unassign() {
    if (!transition(ExchangeState.WAITING)) {
      return false;
    }
    connection = null;
    return true;
  }

  final synchronized boolean isWaiting() {
    return state == ExchangeState.WAITING;
  }

  final synchronized boolean isEnded() {
    return state == ExchangeState.ENDED;
  }

  /** Ends it as not sent; returns false where it had ended before. */
  final boolean endNotSent(AttemptOutcome outcome) {
    boolean ends = transition(ExchangeState.ENDED);
    if (ends) {
      notSent(outcome);
    }
    return ends;
  }

  /**
   * Ends it without notifying anybody; returns what that proves. Whether it was sent is decided in
   * the step that ends it: between two steps a writer thread could send it, and a request that may
   * have been executed would count as not sent (seen in a scenario with few connections).
   */
  final AttemptOutcome abandon() {
    ExchangeState before;
    HttpClientConnection used;
    synchronized (this) {
      before = state;
      used = connection;
      transition(ExchangeState.ENDED);
    }
    if (before == ExchangeState.IN_FLIGHT && used != null) {
      used.abandon(this);
    }
    if (before != ExchangeState.WAITING) {
      return AttemptOutcome.TIMED_OUT;
    }
    boolean allConnectionsBusy = pool.openConnections() > 0;
    return allConnectionsBusy ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
  }

  @Override
  public final void responded(
      int status, Map<String, String> headers, byte[] body, boolean reusable) {
    HttpClientConnection used =
        connection; // assigned before it was sent, hence before its response
    boolean ends = transition(ExchangeState.ENDED);
    if (reusable) {
      pool.release(used);
    }
    if (ends) {
      replied(status, headers, body);
    }
  }

  @Override
  public final void connectionLost(CloseCause cause) {
    if (transition(ExchangeState.ENDED)) {
      lost();
    }
  }
}
