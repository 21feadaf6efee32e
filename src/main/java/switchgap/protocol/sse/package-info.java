/** A decoder for server-sent events with bounded memory, without sockets or a clock. */
package switchgap.protocol.sse;
