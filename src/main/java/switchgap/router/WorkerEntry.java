package switchgap.router;

import java.time.Duration;

/** A worker of the endpoint list, with its address. */
public final class WorkerEntry {
  /** The index of a worker that the policy does not know any more. */
  static final int FORGOTTEN = -1;

  public final String name;
  public final String host;
  public final int port;

  /**
   * Whether anything new may go out to it: what was decided before it drained may still wait for a
   * connection.
   */
  public volatile boolean accepting = true;

  /** State that the transport keeps with it; the core does not read it. */
  public volatile Object attachment;

  /** Start of its process as the list states it, and as it counts; null where it is not told. */
  Duration statedStart;

  Duration startedAt;

  /** What the policy calls it, or {@link #FORGOTTEN}. */
  int index;

  /** A worker that the policy calls by this index. */
  public WorkerEntry(String name, String host, int port, int index) {
    this.name = name;
    this.host = host;
    this.port = port;
    this.index = index;
  }
}
