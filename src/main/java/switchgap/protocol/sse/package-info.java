/** Server-sent events: a bounded decoder, free of sockets and clock. */
package switchgap.protocol.sse;
