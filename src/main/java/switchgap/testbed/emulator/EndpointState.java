package switchgap.testbed.emulator;

import java.util.Locale;

/** State of a worker in the endpoint list. */
public enum EndpointState {
  /** Takes requests. */
  READY,
  /** Finishes what it has and takes nothing new. */
  DRAINING,
  /** Its process has ended. */
  GONE;

  /** The word for it in the list and in logs. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
