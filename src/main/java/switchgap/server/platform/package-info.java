/**
 * A router on the platform, put together: its configuration, the server for its clients, its
 * workers, the control feed, signals and the graceful shutdown. Nothing here may load what a router
 * on the platform does not need: it starts on half a core.
 */
package switchgap.server.platform;
