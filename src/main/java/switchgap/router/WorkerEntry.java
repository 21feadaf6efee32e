package switchgap.router;

import java.time.Duration;

/**
 * A worker of the endpoint list at one address. Modified on the event loop thread only, except for
 * the attachment; {@link #isAccepting()} and the attachment may be read from any thread.
 */
public final class WorkerEntry {
  /** The index of a worker that the policy no longer tracks. */
  static final int NO_INDEX = -1;

  private final String name;
  private final String host;
  private final int port;
  private volatile boolean isAccepting = true;
  private volatile Object attachment;
  private volatile Duration sendLimit;
  private Duration listedStart;
  private Duration startedAt;
  private int index;

  /** Creates a worker that accepts requests; {@code index} is the policy's index of it. */
  public WorkerEntry(String name, String host, int port, int index) {
    this.name = name;
    this.host = host;
    this.port = port;
    this.index = index;
  }

  /** The worker's name in the endpoint list. */
  public String name() {
    return name;
  }

  /** The worker's host name or IP address. */
  public String host() {
    return host;
  }

  /** The worker's TCP port. */
  public int port() {
    return port;
  }

  /**
   * Whether new attempts and commands may be sent to the worker. Check this immediately before
   * sending, because attempts that were started before the worker drained may still wait for a
   * connection. May be called from any thread.
   */
  public boolean isAccepting() {
    return isAccepting;
  }

  /**
   * Whether an attempt or a load command may be written at {@code now}, measured from the router's
   * start: the worker accepts requests and the limit of {@link #limitSends} has not passed. May be
   * called from any thread.
   */
  public boolean isAccepting(Duration now) {
    Duration limit = sendLimit;
    return isAccepting && (limit == null || now.compareTo(limit) <= 0);
  }

  /**
   * Sets the time, since the router's start, after which no attempt or load command may be written
   * to the worker; null for no limit.
   */
  void limitSends(Duration until) {
    sendLimit = until;
  }

  /** The state that the transport attached, or null. May be called from any thread. */
  public Object attachment() {
    return attachment;
  }

  /**
   * Attaches state of the transport, which the core does not read. May be called from any thread.
   */
  public void attach(Object transportState) {
    attachment = transportState;
  }

  /** Called when the endpoint list reports the worker as ready. */
  void startAccepting() {
    isAccepting = true;
  }

  /** Called when the worker drains, its address changes or it is no longer in the endpoint list. */
  void stopAccepting() {
    isAccepting = false;
  }

  /** The policy's index of the worker, or {@link #NO_INDEX}. */
  int index() {
    return index;
  }

  void clearIndex() {
    index = NO_INDEX;
  }

  /**
   * The last listed start time of the worker's process, since the router's start; null if none was
   * listed.
   */
  Duration listedStart() {
    return listedStart;
  }

  /**
   * The validated start time of the worker's process, since the router's start; null if unknown.
   */
  Duration startedAt() {
    return startedAt;
  }

  /**
   * Sets the listed start time of the worker's process and the validated one, {@code
   * validatedTime}.
   */
  void setStartTimes(Duration listedTime, Duration validatedTime) {
    listedStart = listedTime;
    startedAt = validatedTime;
  }
}
