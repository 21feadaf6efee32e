package switchgap.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Deferred requests of one router: pending ones, and responses kept for a stated time. Bounded by
 * count and by the bytes of the responses kept; when full, the responses kept longest go first, and
 * no new request is accepted while all places are taken by pending ones. Belongs to the event loop.
 */
public final class DeferredResults {
  /** What is known of an id. */
  public enum Status {
    /** Its request has no response yet. */
    PENDING,
    /** Its request has ended, and the result is kept. */
    ENDED,
    /** It was handed out, and nothing is kept of it any more. */
    GONE,
    /** It was never handed out by this router. */
    UNKNOWN
  }

  /**
   * A deferred request; it has no response while pending, and when its deadline passed without one.
   */
  public static final class Entry implements ResponseListener {
    private final DeferredResults owner;
    private final long number;
    private final List<Consumer<Entry>> waiters = new ArrayList<>(1);
    private PendingRequest request;
    private Response response;
    private boolean ended;
    private Duration keptUntil;

    private Entry(DeferredResults owner, long number) {
      this.owner = owner;
      this.number = number;
    }

    /** The request, once it was accepted. */
    public PendingRequest request() {
      return request;
    }

    public boolean isEnded() {
      return ended;
    }

    /** The response, or null. */
    public Response response() {
      return response;
    }

    @Override
    public void responded(PendingRequest answered, Response result) {
      owner.end(this, result);
    }

    @Override
    public void deadlineMissed(PendingRequest overdue, Response late) {
      owner.end(this, null);
    }
  }

  private static final int MAX_WAITERS = 8;
  private static final long NO_NUMBER = -1;

  private final String idPrefix;
  private final Duration retention;
  private final int maxEntries;
  private final long maxBytes;
  private final Map<Long, Entry> entries = new HashMap<>();
  private final ArrayDeque<Entry> ended = new ArrayDeque<>();
  private Duration now = Duration.ZERO;
  private long nextNumber;
  private long keptBytes;

  /** Ids begin with the prefix, which differs from one start of a router to the next. */
  public DeferredResults(String idPrefix, Duration retention, int maxEntries, long maxBytes) {
    this.idPrefix = idPrefix;
    this.retention = retention;
    this.maxEntries = maxEntries;
    this.maxBytes = maxBytes;
  }

  /** A place for one more, or null when all are taken by pending requests. */
  public Entry reserve() {
    while (entries.size() >= maxEntries && !ended.isEmpty()) {
      forget(ended.poll());
    }
    if (entries.size() >= maxEntries) {
      return null;
    }
    Entry entry = new Entry(this, nextNumber++);
    entries.put(entry.number, entry);
    return entry;
  }

  /** The id by which a client asks for an entry. */
  public String id(Entry entry) {
    return idPrefix + entry.number;
  }

  /** The request behind an entry was accepted. */
  public void accepted(Entry entry, PendingRequest request) {
    entry.request = request;
  }

  /** The request behind an entry was not accepted. */
  public void notAccepted(Entry entry) {
    entries.remove(entry.number);
  }

  /** Drops what has been kept long enough. */
  public void tick(Duration at) {
    now = at;
    while (!ended.isEmpty() && ended.peek().keptUntil.compareTo(at) <= 0) {
      forget(ended.poll());
    }
  }

  /** What is known of an id. */
  public Status status(String id) {
    long number = numberOf(id);
    if (number < 0 || number >= nextNumber) {
      return Status.UNKNOWN;
    }
    Entry entry = entries.get(number);
    if (entry == null) {
      return Status.GONE;
    }
    return entry.ended ? Status.ENDED : Status.PENDING;
  }

  /** The entry of an id that is pending or ended, else null. */
  public Entry find(String id) {
    return entries.get(numberOf(id));
  }

  /** Tells the waiter at the end; false when too many wait already. */
  public boolean await(Entry entry, Consumer<Entry> waiter) {
    return entry.waiters.size() < MAX_WAITERS && entry.waiters.add(waiter);
  }

  /** A waiter is not told any more. */
  public void stopAwaiting(Entry entry, Consumer<Entry> waiter) {
    entry.waiters.remove(waiter);
  }

  /** The client wants it no more: nothing is kept of it. */
  public void forget(Entry entry) {
    if (entries.remove(entry.number) != null && entry.response != null) {
      keptBytes -= entry.response.body().length;
    }
    ended.remove(entry);
    entry.waiters.clear();
  }

  /** Entries, pending and ended. */
  public int size() {
    return entries.size();
  }

  private long numberOf(String id) {
    if (!id.startsWith(idPrefix)) {
      return NO_NUMBER;
    }
    try {
      return Long.parseLong(id, idPrefix.length(), id.length(), 10);
    } catch (NumberFormatException e) {
      return NO_NUMBER;
    }
  }

  private void end(Entry entry, Response response) {
    if (!entries.containsKey(entry.number)) {
      return;
    }
    entry.response = response;
    entry.ended = true;
    entry.keptUntil = now.plus(retention);
    ended.add(entry);
    keptBytes += response == null ? 0 : response.body().length;
    List<Consumer<Entry>> waiters = List.copyOf(entry.waiters);
    entry.waiters.clear();
    waiters.forEach(waiter -> waiter.accept(entry));
    while (keptBytes > maxBytes && ended.size() > 1) {
      forget(ended.poll());
    }
  }
}
