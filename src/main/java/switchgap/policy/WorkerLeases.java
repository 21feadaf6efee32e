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
 * Keeps the drain and slow-start guarantees while the endpoint list is unconfirmed. During that
 * time a drain or a start takes effect although this router may not have received the notification,
 * so a worker gets attempts and load commands only under a lease. A lease lasts for the drain grace
 * period, counted from the time at which a command was sent that the worker accepted. A successful
 * attempt renews the lease; once it has expired, the request waits for a load probe that renews it.
 * A worker that may have restarted is treated as warming up. If the settings forbid probes, a
 * worker stays in use until an attempt at it is rejected, cannot connect or loses its connection.
 */
final class WorkerLeases {
  /** Minimum interval between two probes of a worker that has no lease. */
  private static final Duration PROBE_RETRY_INTERVAL = SECOND;

  /**
   * An outage of the endpoint list that is shorter than this ends before any change that it hides
   * takes effect.
   */
  private static final Duration MIN_LIST_OUTAGE = SECOND;

  /** Maximum delay between the start of a worker and its appearance in the endpoint list. */
  private static final Duration MAX_LISTING_DELAY = SECOND.multipliedBy(4);

  private final PolicyState state;

  /** Maximum time that a request waits for the reply to a probe before another worker is tried. */
  private final Duration maxProbeWait;

  /**
   * The drain grace period, or {@link #maxProbeWait} if that is longer, so that there is time to
   * send after a probe even if no grace period is configured.
   */
  private final Duration leaseDuration;

  WorkerLeases(PolicyState state, Duration maxProbeWait) {
    this.state = state;
    this.maxProbeWait = maxProbeWait;
    this.leaseDuration = Durations.max(state.settings.drainGrace, maxProbeWait);
  }

  /**
   * Once the list has been unconfirmed for {@link #MIN_LIST_OUTAGE}, presumes that a worker has
   * restarted if it reconnected and the list shows no restart of it. After the list is confirmed
   * again, withdraws each presumed restart that it does not report within {@link
   * #MAX_LISTING_DELAY}.
   */
  void updatePresumedRestarts() {
    if (isLongUnconfirmed()) {
      state.workers.forEach(this::presumeRestartUnlessListed);
    } else if (!state.isListUnconfirmed()) {
      state.workers.forEach(this::withdrawUnlistedRestart);
    }
  }

  private boolean isLongUnconfirmed() {
    return state.isListUnconfirmed()
        && state.hasPassed(state.listUnconfirmedSince().plus(MIN_LIST_OUTAGE));
  }

  private void withdrawUnlistedRestart(Worker worker) {
    Duration presumed = worker.start().presumed();
    if (presumed != null && !state.isWithin(MAX_LISTING_DELAY, presumed)) {
      worker.start().withdrawPresumed();
    }
  }

  private void presumeRestartUnlessListed(Worker worker) {
    Duration reconnectedAt = worker.lease.reconnectedAt();
    Duration earliestUnlisted = state.listUnconfirmedSince().minus(MAX_LISTING_DELAY);
    if (reconnectedAt == null || reconnectedAt.compareTo(earliestUnlisted) < 0) {
      return;
    }
    Duration knownStart = worker.startedAt();
    boolean isRestartListed =
        knownStart != null && knownStart.compareTo(reconnectedAt.minus(MAX_LISTING_DELAY)) > 0;
    if (!isRestartListed) {
      state.presumeRestarted(worker, reconnectedAt);
    }
  }

  /** Whether an attempt or a load command may be sent now: the worker has a lease or needs none. */
  boolean maySendTo(Worker worker) {
    if (!state.requiresLeases()) {
      return true;
    }
    Duration expiresAt = worker.lease.expiresAt();
    return expiresAt != null && !state.hasPassed(expiresAt);
  }

  /**
   * Whether to skip the worker as if it were not ready. Probes it again from time to time, so that
   * it returns to use once it accepts requests.
   */
  boolean isUnavailable(Worker worker) {
    if (!state.isListUnconfirmed()) {
      return false;
    }
    boolean isDenied = worker.lease.isDenied();
    if (worker.isProbeInFlight()) {
      boolean isReplyOverdue = !state.isWithin(maxProbeWait, worker.lease.probedAt());
      return isDenied || (isReplyOverdue && !maySendTo(worker));
    }
    if (isDenied && mayProbeAgain(worker)) {
      state.dispatcher.probe(worker);
    }
    return isDenied;
  }

  private boolean mayProbeAgain(Worker worker) {
    return state.requiresLeases() && !state.isWithin(PROBE_RETRY_INTERVAL, worker.lease.probedAt());
  }

  /** Probes a worker that has no lease and makes the request wait for the reply. */
  void requestLease(Worker worker, Request request) {
    request.waitForProbes(state.now().plus(maxProbeWait));
    state.dispatcher.probe(worker, request);
  }

  /** Probes a worker that has no lease, without a request that waits for the reply. */
  void requestLease(Worker worker) {
    if (!worker.isProbeInFlight() && !worker.lease.isDenied()) {
      state.dispatcher.probe(worker);
    }
  }

  /** Renews the lease after a success; ends it after a rejection or a lost connection. */
  void attemptEnded(Worker worker, AttemptResult result) {
    switch (result.outcome()) {
      case SUCCEEDED -> worker.lease.grant(state.now().minus(result.duration()), leaseDuration);
      case REJECTED, CONNECTION_LOST, CONNECT_FAILED -> endLease(worker);
      default -> {} // does not show whether the worker accepts requests
    }
  }

  /** Ends the lease until the next probe succeeds; without probes, stops using the worker. */
  private void endLease(Worker worker) {
    if (state.settings.probesAllowed) {
      worker.lease.revoke(state.now());
    } else if (state.isListUnconfirmed()) {
      worker.lease.deny(state.now(), false);
    }
  }

  /** Updates the lease by the outcome of a probe. */
  void probeEnded(Worker worker, AttemptOutcome outcome) {
    WorkerLease lease = worker.lease;
    if (lease.probedAt() == null) {
      return; // the probe was sent to an earlier worker that had the same index
    }
    switch (outcome) {
      case SUCCEEDED -> {
        boolean wasDraining = lease.isDraining();
        lease.grant(lease.probedAt(), leaseDuration);
        // A draining process never accepts requests again, so this must be a new process.
        if (wasDraining && state.isListUnconfirmed()) {
          state.presumeRestarted(worker, state.now());
        }
      }
      case FAILED -> lease.deny(state.now(), true);
      case NOT_SENT, CANCELLED -> {} // does not show whether the worker accepts requests
      default -> lease.deny(state.now(), false);
    }
  }

  /** Handles a new connection to a worker that had closed or refused its earlier ones. */
  void workerReconnected(Worker worker) {
    worker.lease.reconnected(state.now());
    if (isLongUnconfirmed()) {
      state.presumeRestarted(worker, state.now());
    }
  }
}
