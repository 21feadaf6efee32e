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
 * One command to a worker and the reply to it: an attempt, a load command or a probe. All methods
 * belong to the event loop.
 *
 * <p>It shares no code with the exchange of the inference protocol: this one shares its connection
 * with other exchanges, that one has a connection to itself and is guarded by a lock, since writer
 * threads send it.
 */
final class RespExchange {
  /** The states of an exchange, in the only order in which it can go through them. */
  enum State {
    /** It waits for a connection; no byte of it was sent. */
    WAITING,
    /** It was sent; its reply may arrive. */
    IN_FLIGHT,
    /** It was completed or abandoned. */
    ENDED;

    boolean mayBecome(State next) {
      return ordinal() < next.ordinal();
    }
  }

  /** Is notified once how an exchange ended, unless the exchange was abandoned. */
  interface CompletionListener {
    /** The exchange ended. On the event loop; {@code reply} is null where none arrived. */
    void exchangeEnded(RouterCore core, AttemptOutcome outcome, WorkerReply reply);
  }

  /** Encodes a command at the moment it is sent, which may be later than its submission. */
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
   * Creates the exchange of an attempt; the reply bears the request's id.
   *
   * @param deadlineNanos nanoseconds of the loop's clock at which it times out
   */
  static RespExchange ofAttempt(
      Attempt attempt, CommandEncoder encoder, long deadlineNanos, CompletionListener listener) {
    return new RespExchange(
        attempt.worker(), attempt.request().id(), attempt, false, encoder, deadlineNanos, listener);
  }

  /**
   * Creates the exchange of a load command or a probe.
   *
   * @param tag the tag that the reply bears, or null for a command without a reply
   * @param allowedWhileDraining whether it may be sent to a worker that accepts no new requests
   * @param deadlineNanos nanoseconds of the loop's clock at which it times out
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

  /** The worker that the command is for. */
  WorkerEntry worker() {
    return worker;
  }

  /** The id or tag that the reply bears; null where the command has no reply. */
  String replyId() {
    return replyId;
  }

  /** Whether it carries an attempt of a request, rather than a load command or a probe. */
  boolean isAttempt() {
    return attempt != null;
  }

  /**
   * Whether it may be sent now. To be asked right before it is sent, not when it was submitted: in
   * between its worker may start draining, its client may leave, and its deadline may pass.
   */
  boolean maySend(long nowNanos) {
    return state == State.WAITING
        && (allowedWhileDraining || worker.isAccepting(Duration.ofNanos(nowNanos)))
        && (attempt == null || (attempt.request().isAwaited() && !isOverdue(nowNanos)));
  }

  /** Whether its deadline has passed. */
  boolean isOverdue(long nowNanos) {
    return nowNanos >= deadlineNanos;
  }

  /** Encodes the command, to be sent now; checks the invariants and records the event of it. */
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
   * Whether an earlier attempt of the same request was sent on this connection. Both attempts bear
   * the request's id, so a late reply to the earlier one would be taken for the later one's.
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

  /** The connection that it was sent on; null before that. */
  RespConnection connection() {
    return connection;
  }

  /** Nanoseconds of the loop's clock at which it was sent; 0 before that. */
  long sentNanos() {
    return sentNanos;
  }

  /** Records that it was sent on a connection. */
  void markSent(RespConnection usedConnection, long nowNanos) {
    if (transitionTo(State.IN_FLIGHT)) {
      connection = usedConnection;
      sentNanos = nowNanos;
    }
  }

  /** Ends it and notifies its listener; does nothing where it has ended before. */
  void complete(RouterCore core, AttemptOutcome outcome, WorkerReply reply) {
    if (transitionTo(State.ENDED)) {
      listener.exchangeEnded(core, outcome, reply);
    }
  }

  /** Ends it without notifying its listener; returns the state before. */
  State abandon() {
    State before = state;
    transitionTo(State.ENDED);
    return before;
  }

  private boolean transitionTo(State next) {
    boolean allowed = state.mayBecome(next);
    if (allowed) {
      state = next;
    }
    return allowed;
  }
}
