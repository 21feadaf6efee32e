package switchgap.policy.state;

import java.time.Duration;

/**
 * Until when the endpoint list is confirmed to be complete. After that, changes may be in effect
 * that have not been received. Times are durations since the router's start.
 */
final class EndpointListConfirmation {
  /** Null if the list is confirmed at all times. */
  private Duration confirmedUntil;

  /** Start of the current unconfirmed period, or of the next if the list is confirmed now. */
  private Duration unconfirmedSince;

  /** Sets the time until which the list is confirmed. */
  void confirmUntil(Duration time, Duration now) {
    boolean wasConfirmed = !isUnconfirmed(now);
    confirmedUntil = time;
    if (wasConfirmed || !isUnconfirmed(now)) {
      unconfirmedSince = Durations.max(now, time);
    }
  }

  /** Whether changes of the list may be in effect that have not been received. */
  boolean isUnconfirmed(Duration now) {
    return confirmedUntil != null && now.compareTo(confirmedUntil) >= 0;
  }

  /** Since when the list is unconfirmed; undefined while it is confirmed. */
  Duration unconfirmedSince() {
    return unconfirmedSince;
  }
}
