/** Puts a router together: its page, its loop, its sockets. */
package switchgap.server.gateway;
