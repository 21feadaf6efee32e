/**
 * Exchanges with the platform's workers: RESP arrays over a few multiplexed connections to each
 * worker.
 *
 * <p>Decoding runs on selector threads, everything else on the event loop. The codec is free of
 * state beyond one connection's stream, and the connection pools hold no policy: which worker gets
 * a request is decided elsewhere.
 */
package switchgap.protocol.resp;
