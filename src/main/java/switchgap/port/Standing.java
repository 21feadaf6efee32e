package switchgap.port;

/** What the list says of a worker. */
public enum Standing { READY, DRAINING, GONE }
