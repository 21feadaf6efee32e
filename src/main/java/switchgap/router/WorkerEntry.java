package switchgap.router;

import java.time.Duration;

/**
 * A worker of the endpoint list at one address. Changed on the event loop; whether it accepts and
 * its attachment may be read from any thread.
 */
public final class WorkerEntry {
  /** The index of a worker that the policy does not know any more. */
  static final int FORGOTTEN = -1;

  private final String name;
  private final String host;
  private final int port;
  private volatile boolean accepting = true;
  private volatile Object attachment;
  private volatile Duration sendLimit;
  private Duration listedStart;
  private Duration startedAt;
  private int index;

  /** An accepting worker that the policy calls by this index. */
  public WorkerEntry(String name, String host, int port, int index) {
    this.name = name;
    this.host = host;
    this.port = port;
    this.index = index;
  }

  /** Its name in the endpoint list. */
  public String name() {
    return name;
  }

  /** Host name or IP address. */
  public String host() {
    return host;
  }

  /** TCP port. */
  public int port() {
    return port;
  }

  /**
   * Whether anything new may be sent to it. To be asked right before sending: what was decided
   * before it drained may still wait for a connection. Any thread.
   */
  public boolean isAccepting() {
    return accepting;
  }

  /**
   * Whether an attempt or a load command may be written to it at this time since the router's
   * start: it accepts, and the limit of {@link #limitSends} has not passed. Any thread.
   */
  public boolean isAccepting(Duration now) {
    Duration limit = sendLimit;
    return accepting && (limit == null || now.compareTo(limit) <= 0);
  }

  /** Nothing new is written to it after a time since the router's start; null for no limit. */
  void limitSends(Duration until) {
    sendLimit = until;
  }

  /** What the transport attached to it, or null. Any thread. */
  public Object attachment() {
    return attachment;
  }

  /** Keeps state of the transport with it; the core does not read it. Any thread. */
  public void attach(Object transportState) {
    attachment = transportState;
  }

  /** The endpoint list says that it is ready. */
  void startAccepting() {
    accepting = true;
  }

  /** It drains, has another address now, or is not in the endpoint list any more. */
  void stopAccepting() {
    accepting = false;
  }

  /** Index by which the policy calls it, or {@link #FORGOTTEN}. */
  int index() {
    return index;
  }

  /** The policy does not know it any more. */
  void forget() {
    index = FORGOTTEN;
  }

  /** The start of its process as last listed, since the router's start; null before any was. */
  Duration listedStart() {
    return listedStart;
  }

  /** The start of its process that counts, since the router's start; null where it is unknown. */
  Duration startedAt() {
    return startedAt;
  }

  /** Another start of its process was listed; {@code effective} is the time that counts. */
  void startListed(Duration listed, Duration effective) {
    listedStart = listed;
    startedAt = effective;
  }
}
