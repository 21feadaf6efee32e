/**
 * Assembles a router: its configuration, event loop, core and sockets, its start and its graceful
 * shutdown. {@link switchgap.server.gateway.GatewayRouter} is the entry point.
 */
package switchgap.server.gateway;
