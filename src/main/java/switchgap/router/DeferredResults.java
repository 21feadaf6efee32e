package switchgap.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Deferred requests of one router: pending ones, and the responses of ended ones, which are cached
 * for a configured time. Bounded by the number of entries and by the bytes of the cached responses;
 * when full, the responses cached longest are evicted, and no new request is accepted while pending
 * ones have all entries. Belongs to the event loop.
 */
public final class DeferredResults {
  /** What is known of an id. */
  public enum Status {
    /** Its request has no response yet. */
    PENDING,
    /** Its request has ended, and the result is cached. */
    ENDED,
    /** This router assigned it, and its result is not cached any more. */
    GONE,
    /** This router never assigned it. */
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
    private Duration expiresAt;

    private Entry(DeferredResults owner, long number) {
      this.owner = owner;
      this.number = number;
    }

    /** The request; null before it was accepted. */
    public PendingRequest request() {
      return request;
    }

    /** Whether the request has ended, with a response or without. */
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
  private final ArrayDeque<Entry> endedEntries = new ArrayDeque<>(); // by their end, oldest first
  private Duration now = Duration.ZERO;
  private long nextNumber;
  private long cachedBytes;

  /**
   * Creates it without entries.
   *
   * @param idPrefix what ids begin with; must differ from one start of a router to the next
   * @param retention how long a response is cached
   * @param maxEntries bound of the entries, pending and ended
   * @param maxBytes bound of the bodies of the cached responses
   */
  public DeferredResults(String idPrefix, Duration retention, int maxEntries, long maxBytes) {
    this.idPrefix = idPrefix;
    this.retention = retention;
    this.maxEntries = maxEntries;
    this.maxBytes = maxBytes;
  }

  /** Reserves an entry; null when pending requests have them all. */
  public Entry reserve() {
    while (entries.size() >= maxEntries && !endedEntries.isEmpty()) {
      forget(endedEntries.poll());
    }
    if (entries.size() >= maxEntries) {
      return null;
    }
    Entry entry = new Entry(this, nextNumber++);
    entries.put(entry.number, entry);
    return entry;
  }

  /** The id by which a client polls an entry. */
  public String id(Entry entry) {
    return idPrefix + entry.number;
  }

  /** The request of a reserved entry was accepted. */
  public void accepted(Entry entry, PendingRequest request) {
    entry.request = request;
  }

  /** The request of a reserved entry was not accepted; the entry is free again. */
  public void notAccepted(Entry entry) {
    entries.remove(entry.number);
  }

  /** Drops the responses whose retention has expired at a time since the router's start. */
  public void tick(Duration time) {
    now = time;
    while (!endedEntries.isEmpty() && endedEntries.peek().expiresAt.compareTo(time) <= 0) {
      forget(endedEntries.poll());
    }
  }

  /** What is known of an id, as of the last tick. */
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

  /** Notifies the waiter of the end of an entry; false when too many wait already. */
  public boolean await(Entry entry, Consumer<Entry> waiter) {
    return entry.waiters.size() < MAX_WAITERS && entry.waiters.add(waiter);
  }

  /** Does not notify a waiter any more. */
  public void stopAwaiting(Entry entry, Consumer<Entry> waiter) {
    entry.waiters.remove(waiter);
  }

  /** Removes an entry with its response; its waiters are not notified. */
  public void forget(Entry entry) {
    if (entries.remove(entry.number) != null && entry.response != null) {
      cachedBytes -= entry.response.body().length;
    }
    endedEntries.remove(entry);
    entry.waiters.clear();
  }

  /** Number of entries, pending and ended. */
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
    entry.expiresAt = now.plus(retention);
    endedEntries.add(entry);
    cachedBytes += response == null ? 0 : response.body().length;
    List<Consumer<Entry>> waiters = List.copyOf(entry.waiters);
    entry.waiters.clear();
    waiters.forEach(waiter -> waiter.accept(entry));
    while (cachedBytes > maxBytes && endedEntries.size() > 1) {
      forget(endedEntries.poll());
    }
  }
}
