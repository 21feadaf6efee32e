/**
 * Assembles a router: its configuration, its event loop and core, its sockets, its start and its
 * orderly stop. {@link switchgap.server.gateway.GatewayRouter} is the entry point.
 */
package switchgap.server.gateway;
