package switchgap.router;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts what happens to requests and connections by kind and reason, and writes a trace line for
 * each event where lines are wanted. A line is {@code kind reason id detail}, so that a search for
 * a request's id finds its complete history. Thread-safe.
 */
public final class RouterEvents {
  private static final String SEPARATOR = " ";

  private final Consumer<String> traceLines;

  /** By kind and reason; reasons are names of enum constants, so the table is bounded. */
  private final Map<RouterEvent.Kind, Map<String, long[]>> counts =
      new EnumMap<>(RouterEvent.Kind.class);

  private RouterEvents(Consumer<String> traceLines) {
    this.traceLines = traceLines;
    for (RouterEvent.Kind kind : RouterEvent.Kind.values()) {
      counts.put(kind, new HashMap<>());
    }
  }

  /** Creates a recorder that only counts. */
  public static RouterEvents counting() {
    return new RouterEvents(null);
  }

  /** Creates a recorder that counts, and writes a trace line for each event. */
  public static RouterEvents tracing(Consumer<String> traceLines) {
    return new RouterEvents(traceLines);
  }

  /** Counts an event, and writes its trace line where events are traced. */
  public void record(RouterEvent event) {
    synchronized (counts) {
      counts.get(event.kind()).computeIfAbsent(event.reasonName(), name -> new long[1])[0]++;
    }
    if (traceLines != null) {
      traceLines.accept(traceLine(event));
    }
  }

  private static String traceLine(RouterEvent event) {
    return String.join(
        SEPARATOR, event.kind().name(), event.reasonName(), event.subjectId(), event.detail());
  }

  /** How often each kind happened for each reason, in the order of their names. */
  public Map<String, Long> counts() {
    Map<String, Long> all = new TreeMap<>();
    synchronized (counts) {
      counts.forEach(
          (kind, reasons) ->
              reasons.forEach((reason, count) -> all.put(kind + SEPARATOR + reason, count[0])));
    }
    return all;
  }

  /** How often a kind happened, whatever the reason. */
  public long count(RouterEvent.Kind kind) {
    synchronized (counts) {
      return counts.get(kind).values().stream().mapToLong(count -> count[0]).sum();
    }
  }
}
