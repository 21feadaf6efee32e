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
 * One exchange with a worker: an attempt, a load command or a probe.
 *
 * <p>It shares no code with the exchange of the inference protocol: this one belongs to the event
 * loop alone and shares its connection with others, that one is guarded by its lock as writer
 * threads send it, and has its connection to itself.
 */
final class RespExchange {
  /** How an exchange stands; it only ever goes forward. */
  enum State {
    /** It has no connection; no byte of it has gone out. */
    WAITING,
    /** It was sent and its reply may come. */
    IN_FLIGHT,
    /** It was completed or abandoned. */
    ENDED;

    boolean mayBecome(State next) {
      return ordinal() < next.ordinal();
    }
  }

  /** Is notified once how an exchange ended, unless it was abandoned. */
  interface CompletionListener {
    /** It ended; {@code reply} is null where none came. On the event loop. */
    void exchangeEnded(RouterCore core, AttemptOutcome outcome, WorkerReply reply);
  }

  /** Encodes the command when it goes out: it may have waited for a connection. */
  interface CommandEncoder {
    /** The command's bytes; {@code remaining} is the time until its timeout. */
    byte[] encode(Duration remaining);
  }

  final WorkerEntry worker;

  /** The id or tag that its reply will bear; null where the command has no reply. */
  final String id;

  /** The attempt and its request, else null. */
  final Attempt attempt;

  final PendingRequest request;
  private final CommandEncoder encoder;

  /** Nanoseconds of the loop's clock at which it times out. */
  final long timeoutNanos;

  private final boolean allowedWhileDraining;
  private final CompletionListener listener;
  private State state = State.WAITING;
  private RespConnection connection;
  private long sentNanos;

  private RespExchange(
      WorkerEntry worker,
      String id,
      Attempt attempt,
      boolean allowedWhileDraining,
      CommandEncoder encoder,
      long timeoutNanos,
      CompletionListener listener) {
    this.worker = worker;
    this.id = id;
    this.attempt = attempt;
    this.request = attempt == null ? null : attempt.request();
    this.allowedWhileDraining = allowedWhileDraining;
    this.encoder = encoder;
    this.timeoutNanos = timeoutNanos;
    this.listener = listener;
  }

  /** The exchange of an attempt of a request, whose id the reply will bear. */
  static RespExchange ofAttempt(
      Attempt attempt, CommandEncoder encoder, long timeoutNanos, CompletionListener listener) {
    return new RespExchange(
        attempt.worker(), attempt.request().id(), attempt, false, encoder, timeoutNanos, listener);
  }

  /**
   * The exchange of a command.
   *
   * @param tag what the reply will bear, or null for a command without a reply
   * @param allowedWhileDraining whether a worker that takes nothing new may still get it
   * @param timeoutNanos nanoseconds of the loop's clock at which it times out
   */
  static RespExchange ofCommand(
      WorkerEntry worker,
      String tag,
      boolean allowedWhileDraining,
      byte[] command,
      long timeoutNanos,
      CompletionListener listener) {
    return new RespExchange(
        worker, tag, null, allowedWhileDraining, remaining -> command, timeoutNanos, listener);
  }

  /**
   * Whether it may go out now. Asked right before it is sent, not when it was decided: its worker
   * may start to drain and its client may leave in between, and in a pause an attempt's timeout may
   * pass.
   */
  boolean maySend(long nowNanos) {
    return state == State.WAITING
        && (allowedWhileDraining || worker.isAccepting())
        && (request == null || (request.isAwaited() && nowNanos < timeoutNanos));
  }

  /** The command, to go out at this time; the invariants are checked for it. */
  byte[] command(long nowNanos, RouterDiagnostics diagnostics) {
    Duration remaining = Duration.ofNanos(timeoutNanos - nowNanos);
    Duration now = Duration.ofNanos(nowNanos);
    if (attempt != null) {
      diagnostics.invariants().beforeAttempt(attempt, remaining, now);
      diagnostics.events().record(new RouterEvent.AttemptSent(attempt, remaining));
    } else if (!allowedWhileDraining) {
      diagnostics.invariants().beforeLoad(worker, now);
    }
    return encoder.encode(remaining);
  }

  State state() {
    return state;
  }

  /** Its connection, null while it waits. */
  RespConnection connection() {
    return connection;
  }

  /** Nanoseconds of the loop's clock at which it was sent, 0 while it waits. */
  long sentNanos() {
    return sentNanos;
  }

  /** It was sent on a connection. */
  void sent(RespConnection usedConnection, long nowNanos) {
    if (transition(State.IN_FLIGHT)) {
      connection = usedConnection;
      sentNanos = nowNanos;
    }
  }

  /** Ends it and notifies its listener, unless it has ended before. */
  void complete(RouterCore core, AttemptOutcome outcome, WorkerReply reply) {
    if (transition(State.ENDED)) {
      listener.exchangeEnded(core, outcome, reply);
    }
  }

  /** Ends it without notifying its listener; returns how it stood. */
  State abandon() {
    State before = state;
    transition(State.ENDED);
    return before;
  }

  private boolean transition(State next) {
    boolean allowed = state.mayBecome(next);
    if (allowed) {
      state = next;
    }
    return allowed;
  }
}
