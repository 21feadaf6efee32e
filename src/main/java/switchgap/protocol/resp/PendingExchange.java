package switchgap.protocol.resp;

import switchgap.policy.api.AttemptOutcome;
import switchgap.router.PendingRequest;
import switchgap.router.RouterCore;
import switchgap.router.WorkerEntry;

/**
 * One exchange with a worker: an execution, an order or a probe. WAITING: no byte has gone out; OUT on a link; OVER.
 * All of it belongs to the router's loop.
 */
final class PendingExchange {
    enum State { WAITING, OUT, OVER }

    /** Hears once how it ended, with the reply where there was one. */
    interface CompletionListener {
        void ended(RouterCore c, AttemptOutcome end, WorkerReply reply);
    }

    final WorkerEntry worker;
    /** What its answer will bear; null where none comes. */
    final String id;
    /** The call of an execution, else null. */
    final PendingRequest call;
    final byte[] command;
    private final boolean harmless;
    private final CompletionListener ended;
    State state = State.WAITING;
    RespConnection link;
    /** Nanoseconds of the loop: when it went out, and when it is given up. */
    long sent;
    final long until;

    /** {@code harmless}: a worker that takes nothing new may still have it. */
    PendingExchange(WorkerEntry worker, String id, PendingRequest call, boolean harmless, byte[] command,
        long until, CompletionListener ended) {
        this.worker = worker;
        this.id = id;
        this.call = call;
        this.harmless = harmless;
        this.command = command;
        this.until = until;
        this.ended = ended;
    }

    /** Asked as it is about to go out, not when it was decided: its worker may drain and its client leave in between. */
    boolean mayGo() {
        return state == State.WAITING && (harmless || worker.accepting) && (call == null || call.isAwaited());
    }

    void end(RouterCore c, AttemptOutcome end, WorkerReply reply) {
        if (state != State.OVER) {
            state = State.OVER;
            ended.ended(c, end, reply);
        }
    }
}
