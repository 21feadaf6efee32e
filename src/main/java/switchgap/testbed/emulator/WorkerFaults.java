package switchgap.testbed.emulator;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The faults that a model server injects at present, each with the share of requests that it hits.
 * Thread-safe.
 */
public final class WorkerFaults {
  /** One way to fail on the socket; docs/router.md tells how a router tells them apart. */
  public enum Kind {
    /** Responds with status 500. */
    ERROR,
    /** Runs the request and never responds. */
    LOST,
    /** Resets the connection amid the response. */
    RESET,
    /** Stops amid the response and keeps the connection open. */
    HALF,
    /** Responds seconds late. */
    LATE,
    /** Sends the response twice. */
    TWICE,
    /** Sends more bytes than the response's length says. */
    OVERSIZED,
    /** Closes the connection when the request arrives. */
    CLOSED_AT_REQUEST,
    /** Serves the request after a delay, as over a slow connection. */
    SLOW_CONNECT;

    /** The word for it in logs. */
    String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final SplittableRandom random;
  private final Map<Kind, Double> shares = new EnumMap<>(Kind.class);

  /** No faults as yet. */
  public WorkerFaults(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Sets the share of requests that a fault hits; 0 ends it. */
  public synchronized void set(Kind kind, double share) {
    if (share <= 0) {
      shares.remove(kind);
    } else {
      shares.put(kind, share);
    }
  }

  /** Whether this fault hits now; one draw for each question, whether the fault is set or not. */
  public synchronized boolean hits(Kind kind) {
    return random.nextDouble() < shares.getOrDefault(kind, 0.0);
  }
}
