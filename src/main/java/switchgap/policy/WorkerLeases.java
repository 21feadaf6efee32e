package switchgap.policy;

import static switchgap.policy.state.Durations.SECOND;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.state.Durations;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.Worker;
import switchgap.policy.state.WorkerLease;

/**
 * Rules 3 and 4 while the endpoint list is unconfirmed, when drains and starts count as notified
 * although no list tells them. A worker then gets attempts and load commands only under a lease:
 * for the drain grace after the send of a command whose reply proves that it accepted. A success
 * renews the lease; where it has lapsed, a load probe does, for which the request waits. A worker
 * that may have restarted warms up from then on, as the list would have told its start. Where the
 * settings allow no probes, a worker stays in use until it rejects something or ends its
 * connections.
 */
final class WorkerLeases {
  private static final Duration RETRY_INTERVAL = SECOND; // of probes of a worker without a lease

  /** A shorter one ends before anything that it hides counts as notified. */
  private static final Duration MIN_OUTAGE = SECOND;

  /** The platform's longest delay between a worker's start and its notification. */
  private static final Duration MAX_LISTING_DELAY = SECOND.multipliedBy(4);

  private final PolicyState state;
  private final Duration maxWait; // for a probe's reply, before another worker is taken
  private final Duration validity; // of a lease; the grace, or time to send where there is none

  WorkerLeases(PolicyState state, Duration maxWait) {
    this.state = state;
    this.maxWait = maxWait;
    this.validity = Durations.max(state.settings.drainGrace, maxWait);
  }

  /**
   * Once the list has been unconfirmed for a while, restarts that it has not told count as well;
   * once it is confirmed again, those that it does not tell in time have not happened.
   */
  void everySecond() {
    if (isLongUnconfirmed()) {
      state.workers.forEach(this::presumeRestartUnlessListed);
    } else if (!state.isListUnconfirmed()) {
      state.workers.forEach(this::dropUnlistedRestart);
    }
  }

  private boolean isLongUnconfirmed() {
    return state.isListUnconfirmed()
        && state.hasPassed(state.listUnconfirmedSince().plus(MIN_OUTAGE));
  }

  private void dropUnlistedRestart(Worker worker) {
    Duration presumed = worker.start().presumed();
    if (presumed != null && !state.isWithin(MAX_LISTING_DELAY, presumed)) {
      worker.start().notListed();
    }
  }

  private void presumeRestartUnlessListed(Worker worker) {
    Duration reconnectedAt = worker.lease.reconnectedAt();
    Duration earliest = state.listUnconfirmedSince().minus(MAX_LISTING_DELAY);
    if (reconnectedAt == null || reconnectedAt.compareTo(earliest) < 0) {
      return;
    }
    Duration known = worker.startedAt();
    boolean isKnown = known != null && known.compareTo(reconnectedAt.minus(MAX_LISTING_DELAY)) > 0;
    if (!isKnown) {
      state.presumeRestarted(worker, reconnectedAt);
    }
  }

  /** Whether the worker may be sent an attempt or a load command now. */
  boolean holds(Worker worker) {
    if (!state.requiresLeases()) {
      return true;
    }
    Duration expiresAt = worker.lease.expiresAt();
    return expiresAt != null && !state.hasPassed(expiresAt);
  }

  /**
   * Whether the worker is to be passed over, as if it were not ready; it is probed now and then.
   */
  boolean isUnavailable(Worker worker) {
    if (!state.isListUnconfirmed()) {
      return false;
    }
    boolean denied = worker.lease.isDenied();
    if (worker.isProbed()) {
      boolean repliesLate = !state.isWithin(maxWait, worker.lease.probedAt());
      return denied || (repliesLate && !holds(worker));
    }
    if (denied && mayProbeAgain(worker)) {
      state.dispatcher.probe(worker);
    }
    return denied;
  }

  private boolean mayProbeAgain(Worker worker) {
    return state.requiresLeases() && !state.isWithin(RETRY_INTERVAL, worker.lease.probedAt());
  }

  /** Probes a worker without a lease; the request waits for the reply. */
  void acquire(Worker worker, Request request) {
    request.waitForProbes(state.now().plus(maxWait));
    state.dispatcher.probe(worker, request);
  }

  /** Probes a worker without a lease, for which no request waits. */
  void acquire(Worker worker) {
    if (!worker.isProbed() && !worker.lease.isDenied()) {
      state.dispatcher.probe(worker);
    }
  }

  /** An attempt ended: a success renews the lease, a rejection or a lost connection ends it. */
  void attemptEnded(Worker worker, AttemptResult result) {
    switch (result.outcome()) {
      case SUCCEEDED -> worker.lease.granted(state.now().minus(result.duration()), validity);
      case REJECTED, CONNECTION_LOST, CONNECT_FAILED -> refused(worker);
      default -> {} // proves nothing
    }
  }

  /** The next probe tells whether the worker accepts; where none is allowed, nothing does. */
  private void refused(Worker worker) {
    if (state.settings.probesAllowed) {
      worker.lease.revoked(state.now());
    } else if (state.isListUnconfirmed()) {
      worker.lease.denied(state.now(), false);
    }
  }

  /** A probe of the worker ended. */
  void probeEnded(Worker worker, AttemptOutcome outcome) {
    WorkerLease lease = worker.lease;
    if (lease.probedAt() == null) {
      return; // the probe was of another process under the same index
    }
    switch (outcome) {
      case SUCCEEDED -> {
        boolean hasDrained = lease.drains();
        lease.granted(lease.probedAt(), validity);
        if (hasDrained && state.isListUnconfirmed()) { // only another process accepts again
          state.presumeRestarted(worker, state.now());
        }
      }
      case FAILED -> lease.denied(state.now(), true);
      case NOT_SENT, CANCELLED -> {} // proves nothing
      default -> lease.denied(state.now(), false);
    }
  }

  /** The worker ended its connections and accepts new ones. */
  void workerReconnected(Worker worker) {
    worker.lease.reconnected(state.now());
    if (isLongUnconfirmed()) {
      state.presumeRestarted(worker, state.now());
    }
  }
}
