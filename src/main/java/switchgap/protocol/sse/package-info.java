/** Server-sent events: a pure decoder, bounded. */
package switchgap.protocol.sse;
