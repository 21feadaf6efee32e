package switchgap.router;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts events by kind and reason and, if tracing is enabled, writes a trace line for each event.
 * A line has the format {@code kind reason id detail}, so that a search for a request's id finds
 * its complete history. Thread-safe.
 */
public final class RouterEvents {
  private static final String SEPARATOR = " ";

  private final Consumer<String> traceLines;

  /**
   * Counts by kind and reason. Bounded, because reasons are names of enum constants or fixed texts.
   */
  private final Map<RouterEvent.Kind, Map<String, long[]>> countsByKind =
      new EnumMap<>(RouterEvent.Kind.class);

  private RouterEvents(Consumer<String> traceLines) {
    this.traceLines = traceLines;
    for (RouterEvent.Kind kind : RouterEvent.Kind.values()) {
      countsByKind.put(kind, new HashMap<>());
    }
  }

  /** Creates a recorder that counts events and writes no trace. */
  public static RouterEvents counting() {
    return new RouterEvents(null);
  }

  /**
   * Creates a recorder that counts events and passes a trace line for each event to {@code
   * traceLines}.
   */
  public static RouterEvents tracing(Consumer<String> traceLines) {
    return new RouterEvents(traceLines);
  }

  /** Counts an event and, if tracing is enabled, writes its trace line. */
  public void record(RouterEvent event) {
    synchronized (countsByKind) {
      countsByKind.get(event.kind()).computeIfAbsent(event.reasonName(), name -> new long[1])[0]++;
    }
    if (traceLines != null) {
      traceLines.accept(traceLine(event));
    }
  }

  private static String traceLine(RouterEvent event) {
    return String.join(
        SEPARATOR, event.kind().name(), event.reasonName(), event.subjectId(), event.detail());
  }

  /** The number of events by {@code kind reason}, sorted by this key. */
  public Map<String, Long> counts() {
    Map<String, Long> sorted = new TreeMap<>();
    synchronized (countsByKind) {
      countsByKind.forEach(
          (kind, reasons) ->
              reasons.forEach((reason, count) -> sorted.put(kind + SEPARATOR + reason, count[0])));
    }
    return sorted;
  }

  /** The number of events of a kind, for all reasons. */
  public long count(RouterEvent.Kind kind) {
    synchronized (countsByKind) {
      return countsByKind.get(kind).values().stream().mapToLong(count -> count[0]).sum();
    }
  }
}
