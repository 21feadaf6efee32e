package switchgap.protocol.thrift;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The order in which connections are evicted: those without any message so far first, then the
 * least recently active ones. Selector threads change both properties at any time, so each is read
 * once: a sort fails if the order changes under it.
 *
 * @param <T> the type of the connections
 */
final class EvictionOrder<T> {
  private record Candidate<T>(T connection, boolean isSilent, long lastActiveNanos) {}

  private final Predicate<T> isSilent;
  private final ToLongFunction<T> lastActiveNanos;

  /**
   * Creates an order.
   *
   * @param isSilent whether a connection has had no message for too long
   * @param lastActiveNanos time at which a connection was last active
   */
  EvictionOrder(Predicate<T> isSilent, ToLongFunction<T> lastActiveNanos) {
    this.isSilent = isSilent;
    this.lastActiveNanos = lastActiveNanos;
  }

  /** Returns the connections to evict first, at most {@code count}. */
  List<T> first(int count, List<T> connections) {
    Comparator<Candidate<T>> silentFirst =
        Comparator.comparing(candidate -> candidate.isSilent() ? 0 : 1);
    return connections.stream()
        .map(this::read)
        .sorted(silentFirst.thenComparingLong(Candidate::lastActiveNanos))
        .limit(count)
        .map(Candidate::connection)
        .toList();
  }

  private Candidate<T> read(T connection) {
    return new Candidate<>(
        connection, isSilent.test(connection), lastActiveNanos.applyAsLong(connection));
  }
}
