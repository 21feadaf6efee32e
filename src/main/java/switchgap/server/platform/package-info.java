/** A router on the platform, put together: what it is given, its clients' door, its workers, the control feed, signals. */
package switchgap.server.platform;
