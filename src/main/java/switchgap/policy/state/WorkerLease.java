package switchgap.policy.state;

import java.time.Duration;

/**
 * What a worker's replies prove of whether it accepts requests, for the time in which the endpoint
 * list cannot tell. All times are of commands' sends, as a reply proves the state at the earliest
 * then. It records and decides nothing.
 */
public final class WorkerLease {
  private Duration grantedAt;
  private Duration expiresAt;
  private Duration deniedAt;
  private Duration revokedAt;
  private Duration probedAt;
  private Duration reconnectedAt;
  private boolean drains;
  private Duration sendLimit;

  /** When the lease ends; null where there is none. */
  public Duration expiresAt() {
    return expiresAt;
  }

  /** When the worker was last probed; null for never. */
  public Duration probedAt() {
    return probedAt;
  }

  /** When the worker was reconnected to, see {@code PolicyEvents}; null for never. */
  public Duration reconnectedAt() {
    return reconnectedAt;
  }

  /** Whether the last probe was not answered, or answered that the worker does not accept. */
  public boolean isDenied() {
    return deniedAt != null;
  }

  /** Whether the last answer to a probe was that the worker drains. */
  public boolean drains() {
    return drains;
  }

  /** The end of the lease that was last passed on with something sent; null for no limit. */
  Duration sendLimit() {
    return sendLimit;
  }

  /** Something is sent that must be written by then; null for no limit. */
  void sendsLimited(Duration until) {
    sendLimit = until;
  }

  /** A probe is sent. */
  void probed(Duration now) {
    probedAt = now;
  }

  /**
   * A reply proves that the worker accepted when the command was sent, unless it denied since.
   *
   * @param validity length of the lease from then on
   */
  public void granted(Duration sentAt, Duration validity) {
    boolean isLatest = grantedAt == null || grantedAt.compareTo(sentAt) <= 0;
    boolean isDeniedSince = deniedAt != null && deniedAt.compareTo(sentAt) > 0;
    boolean isRevokedSince = revokedAt != null && revokedAt.compareTo(sentAt) > 0;
    if (isLatest && !isDeniedSince && !isRevokedSince) {
      grantedAt = sentAt;
      expiresAt = sentAt.plus(validity);
      deniedAt = null;
      drains = false;
    }
  }

  /** A probe proved that the worker drains, or was not answered. */
  public void denied(Duration now, boolean isDraining) {
    expiresAt = null;
    deniedAt = now;
    drains |= isDraining;
  }

  /** What was proved before may hold no longer; the next probe tells. */
  public void revoked(Duration now) {
    expiresAt = null;
    revokedAt = now;
  }

  /** The worker was reconnected to. */
  public void reconnected(Duration now) {
    revoked(now);
    reconnectedAt = now;
  }
}
