package switchgap.policy.state;

import java.time.Duration;

/**
 * A time-limited permission to send to a worker while the endpoint list is unconfirmed, granted by
 * the worker's own replies. A reply only shows that the worker accepted requests at some time after
 * the command was sent, so leases count from the time of the send.
 */
public final class WorkerLease {
  private Duration grantedAt;
  private Duration expiresAt;
  private Duration deniedAt;
  private Duration revokedAt;
  private Duration probedAt;
  private Duration reconnectedAt;
  private boolean draining;
  private Duration sendLimit;

  /** When the lease ends; null if there is none. */
  public Duration expiresAt() {
    return expiresAt;
  }

  /** When the worker was last probed; null if never. */
  public Duration probedAt() {
    return probedAt;
  }

  /** Time of the last {@code PolicyEvents.workerReconnected} event; null if there was none. */
  public Duration reconnectedAt() {
    return reconnectedAt;
  }

  /** Whether the worker is presumed not to accept requests, see {@link #deny}. */
  public boolean isDenied() {
    return deniedAt != null;
  }

  /** Whether a reply to a probe showed that the worker drains, and no lease was granted since. */
  public boolean isDraining() {
    return draining;
  }

  /** The send limit that was last passed to the actions; null for no limit. */
  Duration sendLimit() {
    return sendLimit;
  }

  /** Records the send limit that is passed to the actions; null for no limit. */
  void sendsLimited(Duration until) {
    sendLimit = until;
  }

  /** Records that a probe is sent. */
  void probed(Duration now) {
    probedAt = now;
  }

  /**
   * Grants a lease for a successful reply, unless a lease was granted for a later command or was
   * denied or revoked since the command was sent.
   *
   * @param sentAt when the command was sent
   * @param duration length of the lease from {@code sentAt} on
   */
  public void grant(Duration sentAt, Duration duration) {
    boolean isLatest = grantedAt == null || grantedAt.compareTo(sentAt) <= 0;
    boolean wasDeniedSince = deniedAt != null && deniedAt.compareTo(sentAt) > 0;
    boolean wasRevokedSince = revokedAt != null && revokedAt.compareTo(sentAt) > 0;
    if (isLatest && !wasDeniedSince && !wasRevokedSince) {
      grantedAt = sentAt;
      expiresAt = sentAt.plus(duration);
      deniedAt = null;
      draining = false;
    }
  }

  /**
   * Ends the lease, and presumes until the next grant that the worker does not accept requests: a
   * probe got no reply or showed that the worker drains, or an attempt failed that cannot be
   * followed by a probe because probes are not allowed.
   */
  public void deny(Duration now, boolean isDraining) {
    expiresAt = null;
    deniedAt = now;
    draining |= isDraining;
  }

  /** Ends the lease because the worker may have stopped accepting requests. */
  public void revoke(Duration now) {
    expiresAt = null;
    revokedAt = now;
  }

  /** Records a new connection to the worker, which ends the lease. */
  public void reconnected(Duration now) {
    revoke(now);
    reconnectedAt = now;
  }
}
