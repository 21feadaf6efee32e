/** How edge and planner speak: messages in CBOR, a handshake, one planner for an edge, heartbeats; docs/split.md. */
package switchgap.planner.link;
