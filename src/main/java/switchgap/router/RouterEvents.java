package switchgap.router;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What happens to requests and connections: counted by kind and reason, and told in a line each
 * where lines are wanted. A line is {@code kind reason id detail}, so that one search for a
 * request's id finds its whole way. Counting is cheap; a detail becomes text only for a line.
 * Thread-safe.
 */
public final class RouterEvents {
  /** What happened. */
  public enum Kind {
    /** A request was read. */
    REQUEST_RECEIVED,
    /** A request has its final answer. */
    REQUEST_ANSWERED,
    /** A request's client withdrew it or has gone. */
    REQUEST_ABANDONED,
    /** An attempt goes out. */
    ATTEMPT_SENT,
    /** An attempt ended. */
    ATTEMPT_ENDED,
    /** A client's connection was opened. */
    CLIENT_CONNECTED,
    /** A client's connection ended. */
    CLIENT_CLOSED,
    /** A connection to a worker ended. */
    WORKER_CLOSED,
    /** A rule was broken: a fault of this program. */
    RULE_VIOLATED
  }

  private static final String SEPARATOR = " ";

  private final Consumer<String> lines;
  private final Consumer<String> traces;

  /** By kind and reason; reasons are a bounded set of words. */
  private final Map<Kind, Map<String, long[]>> counts = new EnumMap<>(Kind.class);

  /**
   * Events of one router.
   *
   * @param lines takes lines of the log
   * @param traces takes a line for each event, or null where none are wanted
   */
  public RouterEvents(Consumer<String> lines, Consumer<String> traces) {
    this.lines = lines;
    this.traces = traces;
    for (Kind kind : Kind.values()) {
      counts.put(kind, new HashMap<>());
    }
  }

  /** Writes a line, whether events are traced or not. */
  public void line(String text) {
    lines.accept(text);
  }

  /** Whether each event has a line: a detail that costs something need not be made otherwise. */
  public boolean isTracing() {
    return traces != null;
  }

  /**
   * Notes an event.
   *
   * @param reason why, of a bounded set of words: the counter's name
   * @param id of the request, or of the connection
   * @param detail its text goes into the line, if there is one
   */
  public void record(Kind kind, String reason, String id, Object detail) {
    synchronized (counts) {
      counts.get(kind).computeIfAbsent(reason, word -> new long[1])[0]++;
    }
    if (traces != null) {
      traces.accept(kind + SEPARATOR + reason + SEPARATOR + id + SEPARATOR + detail);
    }
  }

  /**
   * Notes the end of a connection.
   *
   * @param why the reason, and behind a colon what it was in this case
   */
  public void recordClose(Kind kind, String why, String connectionId) {
    int colon = why.indexOf(':');
    String reason = colon < 0 ? why : why.substring(0, colon);
    record(kind, reason.replace(' ', '-'), connectionId, why);
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
  public long count(Kind kind) {
    synchronized (counts) {
      return counts.get(kind).values().stream().mapToLong(count -> count[0]).sum();
    }
  }
}
