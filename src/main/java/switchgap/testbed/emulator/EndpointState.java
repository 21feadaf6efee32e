package switchgap.testbed.emulator;

import java.util.Locale;

/** The state of a worker in the endpoint list. */
public enum EndpointState {
  /** The worker accepts requests. */
  READY,
  /** The worker completes the requests in flight and accepts no new ones. */
  DRAINING,
  /** The worker's process has ended. */
  GONE;

  /** The state's word in the endpoint list and in logs. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
