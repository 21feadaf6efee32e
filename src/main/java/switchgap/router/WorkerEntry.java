package switchgap.router;

/** A worker of the list, with its address; {@code index} is what the module calls it, -1 once forgotten. */
public final class WorkerEntry {
    public final String name;
    public final String host;
    public final int port;
    int index;
    /** Whether anything new may go out to it: what was decided before it drained may still wait for a connection. */
    public volatile boolean takesNew = true;
    /** The transport's own. */
    public volatile Object links;

    public WorkerEntry(String name, String host, int port, int index) {
        this.name = name;
        this.host = host;
        this.port = port;
        this.index = index;
    }
}
