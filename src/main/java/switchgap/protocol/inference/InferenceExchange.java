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
  /** Of an exchange that waits for as long as it takes. */
  static final long NO_DEADLINE = Long.MAX_VALUE;

  private enum State {
    /** It has no connection; no byte of it has gone out. */
    WAITING,
    /** It has a connection, and bytes of it may have gone out. */
    IN_FLIGHT,
    /** It was completed or abandoned. */
    ENDED;

    /** In flight it goes back to waiting only where its connection took no byte. */
    boolean mayBecome(State next) {
      return switch (this) {
        case WAITING -> next == IN_FLIGHT || next == ENDED;
        case IN_FLIGHT -> next == WAITING || next == ENDED;
        case ENDED -> false;
      };
    }
  }

  final InferenceRequest request;
  private final WorkerEntry worker;
  private final HttpConnectionPool pool;

  /** The System.nanoTime after which it is not sent any more, or {@link #NO_DEADLINE}. */
  private final long deadlineNanos;

  private State state = State.WAITING;
  private HttpClientConnection connection;

  /**
   * An exchange that waits. Its pool is known before it is submitted, since it may be abandoned
   * before that.
   *
   * @param deadlineNanos System.nanoTime after which it is not sent any more, or {@link
   *     #NO_DEADLINE}; guards against a pause, in which it may have waited past its timeout
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

  /** Gives it to its pool; on the event loop or a writer thread. */
  final void submit() {
    pool.submit(this);
  }

  private synchronized boolean transition(State next) {
    boolean allowed = state.mayBecome(next);
    if (allowed) {
      state = next;
    }
    return allowed;
  }

  /**
   * Takes a connection, unless it is too late: what waited here while its worker began to drain
   * must not go out.
   */
  synchronized boolean assign(HttpClientConnection to) {
    if (!maySend() || !transition(State.IN_FLIGHT)) {
      return false;
    }
    connection = to;
    return true;
  }

  /** Whether it may still go out: its worker takes what is new, and its deadline has not passed. */
  final synchronized boolean maySend() {
    return worker.isAccepting()
        && (deadlineNanos == NO_DEADLINE || System.nanoTime() - deadlineNanos < 0);
  }

  /** Its connection took no byte: it waits again; false where it was abandoned meanwhile. */
  final synchronized boolean unassign() {
    if (!transition(State.WAITING)) {
      return false;
    }
    connection = null;
    return true;
  }

  final synchronized boolean isWaiting() {
    return state == State.WAITING;
  }

  final synchronized boolean isEnded() {
    return state == State.ENDED;
  }

  /** Ends it as not sent; false where it had ended before. */
  final boolean endNotSent(AttemptOutcome outcome) {
    boolean ends = transition(State.ENDED);
    if (ends) {
      notSent(outcome);
    }
    return ends;
  }

  /**
   * Ends it without notifying anybody; returns what that proves. Asking whether it was sent and
   * ending it are one step: between two, a writer thread could send it, and a request that may have
   * been executed would count as not sent (seen in a scenario with few connections).
   */
  final AttemptOutcome abandon() {
    State before;
    HttpClientConnection used;
    synchronized (this) {
      before = state;
      used = connection;
      transition(State.ENDED);
    }
    if (before == State.IN_FLIGHT && used != null) {
      used.abandon(this);
    }
    if (before != State.WAITING) {
      return AttemptOutcome.TIMED_OUT;
    }
    boolean allConnectionsBusy = pool.openConnections() > 0;
    return allConnectionsBusy ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED;
  }

  @Override
  public final void responded(
      int status, Map<String, String> headers, byte[] body, boolean reusable) {
    HttpClientConnection used =
        connection; // set before it was sent, which comes before its response
    boolean ends = transition(State.ENDED);
    if (reusable) {
      pool.release(used);
    }
    if (ends) {
      replied(status, headers, body);
    }
  }

  @Override
  public final void connectionLost(CloseCause cause) {
    if (transition(State.ENDED)) {
      lost();
    }
  }
}
