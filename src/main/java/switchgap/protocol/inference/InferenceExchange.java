package switchgap.protocol.inference;

import java.util.Map;
import switchgap.net.CloseCause;
import switchgap.net.HttpClientConnection;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.WorkerEntry;

/**
 * One request to a worker and its response. It ends once: exactly one of {@link #onNotSent}, {@link
 * #onReply} and {@link #onConnectionLost} is called, or none if it was abandoned. The event loop,
 * writer threads and selector threads all change its state, which is guarded by its lock.
 *
 * <p>It shares no code with the exchange of the RESP protocol, which is confined to the event loop,
 * needs no lock and shares its connection with other exchanges. This one has exclusive use of its
 * connection.
 */
abstract class InferenceExchange implements HttpClientConnection.ResponseHandler {
  /** Deadline of an exchange that may wait for a connection without a time limit. */
  static final long NO_DEADLINE = Long.MAX_VALUE;

  private final InferenceRequest request;
  private final WorkerEntry worker;
  private final HttpConnectionPool pool;
  private final long deadlineNanos;
  private ExchangeState state = ExchangeState.WAITING;

  /** Null while waiting, and if the exchange ended while waiting. */
  private HttpClientConnection connection;

  /**
   * Creates an exchange in the state WAITING. The pool is set here and not on submission, since an
   * exchange may be abandoned before it is submitted.
   *
   * @param deadlineNanos {@link System#nanoTime} after which it must not be sent, or {@link
   *     #NO_DEADLINE}; without it, an exchange that waited while the process was paused would be
   *     sent after its timeout
   */
  InferenceExchange(
      WorkerEntry worker, HttpConnectionPool pool, InferenceRequest request, long deadlineNanos) {
    this.worker = worker;
    this.pool = pool;
    this.request = request;
    this.deadlineNanos = deadlineNanos;
  }

  /** Called when the exchange ended and no byte of it was sent. */
  abstract void onNotSent(AttemptOutcome outcome);

  /** Called with the worker's response; header names are in lower case. */
  abstract void onReply(int status, Map<String, String> headers, byte[] body);

  /** Called when the connection was lost after bytes of the request may have been sent. */
  abstract void onConnectionLost();

  /** Submits the exchange to its pool; on the event loop or a writer thread. */
  final void submit() {
    pool.submit(this);
  }

  private synchronized boolean transition(ExchangeState next) {
    boolean allowed = state.canTransitionTo(next);
    if (allowed) {
      state = next;
    }
    return allowed;
  }

  /**
   * Assigns a connection to the exchange. Returns false if it ended, missed its deadline or its
   * worker stopped accepting requests while it waited; it must not be sent then.
   */
  synchronized boolean assign(HttpClientConnection idleConnection) {
    if (!canBeSent() || !transition(ExchangeState.IN_FLIGHT)) {
      return false;
    }
    connection = idleConnection;
    return true;
  }

  /** Whether the worker accepts requests and the deadline has not passed. */
  final synchronized boolean canBeSent() {
    return worker.isAccepting()
        && (deadlineNanos == NO_DEADLINE || System.nanoTime() - deadlineNanos < 0);
  }

  /** Sends the request on the assigned connection; returns false if no byte was sent. */
  final boolean sendOn(HttpClientConnection assigned) {
    return assigned.send(request.method(), request.path(), request.headers(), request.body(), this);
  }

  /**
   * Returns to the state WAITING after the connection accepted no byte. Returns false if the
   * exchange was abandoned in the meantime.
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

  /** Ends the exchange as not sent; returns false if it had already ended. */
  final boolean endNotSent(AttemptOutcome outcome) {
    boolean endedNow = transition(ExchangeState.ENDED);
    if (endedNow) {
      onNotSent(outcome);
    }
    return endedNow;
  }

  /** Ends the exchange without a callback if it has not been sent; returns whether it did. */
  final synchronized boolean withdraw() {
    return state == ExchangeState.WAITING && transition(ExchangeState.ENDED);
  }

  /**
   * Ends the exchange without a callback and returns the outcome: NOT_SENT or CONNECT_FAILED if no
   * byte was sent, TIMED_OUT if the request may have been executed. The state is read and changed
   * under one lock. Otherwise a writer thread could send the request in between, and a request that
   * may have been executed would be reported as not sent. Pools with few connections are prone to
   * this.
   */
  final AttemptOutcome abandon() {
    ExchangeState previousState;
    HttpClientConnection usedConnection;
    synchronized (this) {
      previousState = state;
      usedConnection = connection;
      transition(ExchangeState.ENDED);
    }
    if (previousState == ExchangeState.IN_FLIGHT && usedConnection != null) {
      usedConnection.abandon(this);
    }
    if (previousState != ExchangeState.WAITING) {
      return AttemptOutcome.TIMED_OUT;
    }
    boolean allConnectionsBusy = pool.openConnections() > 0;
    return allConnectionsBusy ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
  }

  @Override
  public final void responded(
      int status, Map<String, String> headers, byte[] body, boolean reusable) {
    // Safe without the lock: assign() happens before the request is sent and thus before its
    // response arrives.
    HttpClientConnection usedConnection = connection;
    boolean endedNow = transition(ExchangeState.ENDED);
    if (reusable) {
      pool.release(usedConnection);
    }
    if (endedNow) {
      onReply(status, headers, body);
    }
  }

  @Override
  public final void connectionLost(CloseCause cause) {
    if (transition(ExchangeState.ENDED)) {
      onConnectionLost();
    }
  }
}
