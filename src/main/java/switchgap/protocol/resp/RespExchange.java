package switchgap.protocol.resp;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.PendingRequest;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;
import switchgap.router.WorkerEntry;

/**
 * One command to a worker, which is an attempt, a load command or a probe, and the reply to it. All
 * methods must be called on the event loop.
 *
 * <p>It shares its connection with other exchanges. It has no code in common with the exchange of
 * the inference protocol, which has a connection of its own and is guarded by a lock because writer
 * threads send it.
 */
final class RespExchange {
  /** The states of an exchange. An exchange can only move to a later state in this order. */
  enum State {
    /** The exchange is waiting for a connection; no byte of it was sent. */
    WAITING,
    /** The command was sent, and the reply has not arrived. */
    IN_FLIGHT,
    /** The exchange was completed or abandoned. */
    ENDED;

    boolean mayBecome(State next) {
      return ordinal() < next.ordinal();
    }
  }

  /** Receives the outcome of an exchange once, unless the exchange was abandoned. */
  interface CompletionListener {
    /**
     * Called on the event loop when the exchange has ended. {@code reply} is null if none arrived.
     */
    void exchangeEnded(RouterCore core, AttemptOutcome outcome, WorkerReply reply);
  }

  /** Encodes a command when it is sent, which may be later than its submission. */
  interface CommandEncoder {
    /** Returns the command's bytes; {@code remaining} is the time until its deadline. */
    byte[] encode(Duration remaining);
  }

  private final WorkerEntry worker;
  private final String replyId;
  private final Attempt attempt;
  private final CommandEncoder encoder;
  private final long deadlineNanos;
  private final boolean allowedWhileDraining;
  private final CompletionListener listener;
  private State state = State.WAITING;
  private RespConnection connection;
  private long sentNanos;

  private RespExchange(
      WorkerEntry worker,
      String replyId,
      Attempt attempt,
      boolean allowedWhileDraining,
      CommandEncoder encoder,
      long deadlineNanos,
      CompletionListener listener) {
    this.worker = worker;
    this.replyId = replyId;
    this.attempt = attempt;
    this.allowedWhileDraining = allowedWhileDraining;
    this.encoder = encoder;
    this.deadlineNanos = deadlineNanos;
    this.listener = listener;
  }

  /**
   * Creates the exchange of an attempt. The reply contains the request's id.
   *
   * @param deadlineNanos time at which the exchange times out, in nanoseconds of the router's clock
   */
  static RespExchange ofAttempt(
      Attempt attempt, CommandEncoder encoder, long deadlineNanos, CompletionListener listener) {
    return new RespExchange(
        attempt.worker(), attempt.request().id(), attempt, false, encoder, deadlineNanos, listener);
  }

  /**
   * Creates the exchange of a load command or a probe.
   *
   * @param tag the tag that the reply will contain, or null for a command without a reply
   * @param allowedWhileDraining whether the command may be sent to a worker that accepts no new
   *     requests
   * @param deadlineNanos time at which the exchange times out, in nanoseconds of the router's clock
   */
  static RespExchange ofCommand(
      WorkerEntry worker,
      String tag,
      boolean allowedWhileDraining,
      byte[] command,
      long deadlineNanos,
      CompletionListener listener) {
    return new RespExchange(
        worker, tag, null, allowedWhileDraining, remaining -> command, deadlineNanos, listener);
  }

  /** The worker that receives the command. */
  WorkerEntry worker() {
    return worker;
  }

  /** The id or tag that the reply contains, or null if the command has no reply. */
  String replyId() {
    return replyId;
  }

  /** Whether the command is an attempt of a request, rather than a load command or a probe. */
  boolean isAttempt() {
    return attempt != null;
  }

  /**
   * Whether the command may be sent now. This must be checked immediately before sending, not on
   * submission, because in between the worker may start draining, the client may disconnect, or the
   * deadline or the time for repeats of the request may pass.
   */
  boolean maySend(long nowNanos) {
    Duration now = Duration.ofNanos(nowNanos);
    return state == State.WAITING
        && (allowedWhileDraining || worker.isAccepting(now))
        && (attempt == null || (mayAttempt(now) && !isOverdue(nowNanos)));
  }

  private boolean mayAttempt(Duration now) {
    PendingRequest request = attempt.request();
    return request.isAwaited() && request.mayAttemptAt(now);
  }

  /** Whether the deadline has passed. */
  boolean isOverdue(long nowNanos) {
    return nowNanos >= deadlineNanos;
  }

  /**
   * Encodes the command immediately before it is sent. Also checks the router's invariants for an
   * attempt or a load command, and records an attempt.
   */
  byte[] encodeCommand(long nowNanos, RouterDiagnostics diagnostics) {
    Duration remaining = Duration.ofNanos(deadlineNanos - nowNanos);
    Duration now = Duration.ofNanos(nowNanos);
    if (attempt != null) {
      diagnostics.invariants().beforeAttempt(attempt, remaining, now);
      diagnostics.events().record(new RouterEvent.AttemptSent(attempt, remaining));
    } else if (!allowedWhileDraining) {
      diagnostics.invariants().beforeLoad(worker, now);
    }
    return encoder.encode(remaining);
  }

  /**
   * Whether an earlier attempt of the same request was sent on {@code candidate}. Both attempts
   * carry the request's id, so a late reply to the earlier attempt would be mistaken for the reply
   * to the later one.
   */
  boolean hasEarlierAttemptOn(RespConnection candidate) {
    if (attempt == null) {
      return false;
    }
    PendingRequest request = attempt.request();
    for (Attempt other : request.attempts()) {
      if (other.attachment() instanceof RespExchange exchange
          && exchange != this
          && exchange.connection == candidate) {
        return true;
      }
    }
    return false;
  }

  State state() {
    return state;
  }

  /** The connection on which the command was sent, or null if it has not been sent. */
  RespConnection connection() {
    return connection;
  }

  /**
   * Time at which the command was sent, in nanoseconds of the router's clock; 0 if it has not been
   * sent.
   */
  long sentNanos() {
    return sentNanos;
  }

  /** Records that the command was sent on a connection. */
  void markSent(RespConnection usedConnection, long nowNanos) {
    if (transitionTo(State.IN_FLIGHT)) {
      connection = usedConnection;
      sentNanos = nowNanos;
    }
  }

  /**
   * Ends the exchange and notifies its listener. Does nothing if the exchange has already ended.
   */
  void complete(RouterCore core, AttemptOutcome outcome, WorkerReply reply) {
    if (transitionTo(State.ENDED)) {
      listener.exchangeEnded(core, outcome, reply);
    }
  }

  /** Ends the exchange without notifying its listener, and returns the previous state. */
  State abandon() {
    State previousState = state;
    transitionTo(State.ENDED);
    return previousState;
  }

  private boolean transitionTo(State next) {
    boolean allowed = state.mayBecome(next);
    if (allowed) {
      state = next;
    }
    return allowed;
  }
}
