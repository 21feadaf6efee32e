/**
 * The client of the platform's workers: commands and replies are RESP arrays over a few multiplexed
 * connections to each worker. {@link switchgap.protocol.resp.RespWorkerTransport} is the entry
 * point, {@link switchgap.protocol.resp.RespExchange} one command with its reply, and {@link
 * switchgap.protocol.resp.RespConnectionPool} decides which connection carries it or whether it
 * waits.
 *
 * <p>Decoding runs on selector threads, everything else on the event loop. The codec is free of
 * state beyond one connection's stream, and the connection pools hold no policy: which worker
 * receives a request is decided elsewhere.
 */
package switchgap.protocol.resp;
