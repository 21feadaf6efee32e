/**
 * The client of the platform's workers: commands and replies are RESP arrays over a few multiplexed
 * connections to each worker. {@link switchgap.protocol.resp.RespWorkerTransport} is the entry
 * point, {@link switchgap.protocol.resp.RespExchange} represents one command with its reply, and
 * {@link switchgap.protocol.resp.RespConnectionPool} decides which connection carries an exchange
 * or whether it waits.
 *
 * <p>Decoding runs on selector threads, everything else on the event loop. The codec holds no state
 * beyond one connection's stream, and the connection pools contain no policy: they do not choose
 * the worker that receives a request.
 */
package switchgap.protocol.resp;
