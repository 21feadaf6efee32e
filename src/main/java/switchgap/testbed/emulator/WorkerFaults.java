package switchgap.testbed.emulator;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The faults that a model server injects, each with the share of requests that it affects.
 * Thread-safe.
 */
public final class WorkerFaults {
  /** A fault on the socket; docs/router.md describes how a router distinguishes them. */
  public enum Kind {
    /** Sends a response with status 500 without executing the request. */
    ERROR,
    /** Executes the request and sends no response. */
    LOST,
    /** Closes the connection after part of the response. */
    RESET,
    /** Sends part of the response and keeps the connection open. */
    HALF,
    /** Sends the response several seconds late. */
    LATE,
    /** Sends the response twice. */
    TWICE,
    /** Sends more bytes than the response's Content-Length header states. */
    OVERSIZED,
    /** Closes the connection when an inference request arrives, without executing it. */
    CLOSED_AT_REQUEST,
    /** Delays any request before it is served, as a slow connection would. */
    SLOW_CONNECT;

    /** The fault's word in logs. */
    String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final SplittableRandom random;
  private final Map<Kind, Double> shares = new EnumMap<>(Kind.class);

  /** Creates a set without faults; {@code seed} is the seed of the random draws. */
  public WorkerFaults(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Sets the share of requests that a fault affects; 0 disables the fault. */
  public synchronized void set(Kind kind, double share) {
    if (share <= 0) {
      shares.remove(kind);
    } else {
      shares.put(kind, share);
    }
  }

  /**
   * Draws whether the fault affects the current request. Each call makes one random draw, even if
   * the fault is disabled.
   */
  public synchronized boolean hits(Kind kind) {
    return random.nextDouble() < shares.getOrDefault(kind, 0.0);
  }
}
