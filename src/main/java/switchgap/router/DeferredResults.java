package switchgap.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The deferred requests of one router: pending requests, and the responses of ended requests, which
 * are cached for a configured time. Bounded by the number of entries and by the bytes of the cached
 * responses. When full, the oldest responses are evicted, except that the latest one is kept even
 * if it alone exceeds the limit of bytes. If pending requests occupy all entries, no new request is
 * accepted. Confined to the event loop thread.
 */
public final class DeferredResults {
  /** The status of an id of a deferred request. */
  public enum Status {
    /** The request has no response yet. */
    PENDING,
    /** The request has ended and its result is cached. */
    ENDED,
    /** This router assigned the id, but the result is no longer cached. */
    GONE,
    /** This router never assigned the id. */
    UNKNOWN
  }

  /**
   * A deferred request. It has no response while it is pending, or if its deadline passed without
   * one.
   */
  public static final class Entry implements ResponseListener {
    private final DeferredResults owner;
    private final long number;
    private final List<Consumer<Entry>> waiters = new ArrayList<>(1);
    private PendingRequest request;
    private Response response;
    private boolean isEnded;
    private Duration expiresAt;

    private Entry(DeferredResults owner, long number) {
      this.owner = owner;
      this.number = number;
    }

    /** The request; null until it is accepted. */
    public PendingRequest request() {
      return request;
    }

    /** Whether the request has ended, with or without a response. */
    public boolean isEnded() {
      return isEnded;
    }

    /** The response, or null if there is none. */
    public Response response() {
      return response;
    }

    @Override
    public void responded(PendingRequest answeredRequest, Response result) {
      owner.end(this, result);
    }

    @Override
    public void deadlineMissed(PendingRequest missedRequest, Response lateResponse) {
      owner.end(this, null);
    }
  }

  private static final int MAX_WAITERS_PER_ENTRY = 8;
  private static final long INVALID_NUMBER = -1;

  private final String idPrefix;
  private final Duration retention;
  private final int maxEntries;
  private final long maxBytes;
  private final Map<Long, Entry> entries = new HashMap<>();

  /** In the order in which their requests ended, oldest first. */
  private final ArrayDeque<Entry> endedEntries = new ArrayDeque<>();

  private Duration now = Duration.ZERO;
  private long nextNumber;
  private long cachedBytes;

  /**
   * Creates an empty table.
   *
   * @param idPrefix prefix of all ids; must be different for each start of a router
   * @param retention how long a response is cached
   * @param maxEntries maximum number of pending and ended entries together
   * @param maxBytes maximum total size of the bodies of the cached responses; a single larger
   *     response is cached nevertheless
   */
  public DeferredResults(String idPrefix, Duration retention, int maxEntries, long maxBytes) {
    this.idPrefix = idPrefix;
    this.retention = retention;
    this.maxEntries = maxEntries;
    this.maxBytes = maxBytes;
  }

  /** Reserves an entry; returns null if pending requests occupy all entries. */
  public Entry reserve() {
    while (entries.size() >= maxEntries && !endedEntries.isEmpty()) {
      remove(endedEntries.poll());
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

  /** Records that the request of a reserved entry was accepted. */
  public void accepted(Entry entry, PendingRequest request) {
    entry.request = request;
  }

  /** Frees a reserved entry whose request was not accepted. */
  public void notAccepted(Entry entry) {
    entries.remove(entry.number);
  }

  /**
   * Removes the responses whose retention has expired at {@code time}, measured from the router's
   * start.
   */
  public void tick(Duration time) {
    now = time;
    while (!endedEntries.isEmpty() && endedEntries.peek().expiresAt.compareTo(time) <= 0) {
      remove(endedEntries.poll());
    }
  }

  /** The status of an id, as of the last tick. */
  public Status status(String id) {
    long number = parseNumber(id);
    if (number < 0 || number >= nextNumber) {
      return Status.UNKNOWN;
    }
    Entry entry = entries.get(number);
    if (entry == null) {
      return Status.GONE;
    }
    return entry.isEnded ? Status.ENDED : Status.PENDING;
  }

  /** The pending or ended entry of an id, or null if there is none. */
  public Entry find(String id) {
    return entries.get(parseNumber(id));
  }

  /**
   * Registers a waiter that is notified when the entry ends. Returns false if the entry has the
   * maximum number of waiters.
   */
  public boolean await(Entry entry, Consumer<Entry> waiter) {
    return entry.waiters.size() < MAX_WAITERS_PER_ENTRY && entry.waiters.add(waiter);
  }

  /** Removes a waiter, which is then not notified. */
  public void stopAwaiting(Entry entry, Consumer<Entry> waiter) {
    entry.waiters.remove(waiter);
  }

  /** Removes an entry and its response without notifying its waiters. */
  public void remove(Entry entry) {
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

  private long parseNumber(String id) {
    if (!id.startsWith(idPrefix)) {
      return INVALID_NUMBER;
    }
    try {
      return Long.parseLong(id, idPrefix.length(), id.length(), 10);
    } catch (NumberFormatException e) {
      return INVALID_NUMBER;
    }
  }

  private void end(Entry entry, Response response) {
    if (!entries.containsKey(entry.number)) {
      return;
    }
    entry.response = response;
    entry.isEnded = true;
    entry.expiresAt = now.plus(retention);
    endedEntries.add(entry);
    cachedBytes += response == null ? 0 : response.body().length;
    List<Consumer<Entry>> waiters = List.copyOf(entry.waiters);
    entry.waiters.clear();
    waiters.forEach(waiter -> waiter.accept(entry));
    while (cachedBytes > maxBytes && endedEntries.size() > 1) {
      remove(endedEntries.poll());
    }
  }
}
