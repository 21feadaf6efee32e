package switchgap.testbed.emulator;

import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import switchgap.net.HttpExchange;
import switchgap.net.NetworkTransport;

/**
 * The objects that all model servers of a test bed share.
 *
 * @param scheduler clock and thread of the servers
 * @param net transport that the servers listen with
 * @param recorder log of the requests received and responses sent
 * @param functionByName returns the function with a name, or null
 * @param routerByAddress returns the index of the router that connects from an IP address
 * @param idempotencyKeys idempotency keys of requests that any of the servers executed, with the
 *     time of the latest execution in microseconds
 * @param reportsUtilization whether load reports hold the worker's utilization, executions in
 *     flight and queue length
 */
public record ModelServerContext(
    Scheduler scheduler,
    NetworkTransport net,
    EventRecorder recorder,
    Function<String, FunctionModel> functionByName,
    ToIntFunction<String> routerByAddress,
    Map<String, Long> idempotencyKeys,
    boolean reportsUtilization) {
  void record(LogEvent event) {
    recorder.record(event);
  }

  /** Returns the index of the router that sent a request. */
  int routerOf(HttpExchange exchange) {
    return routerByAddress.applyAsInt(exchange.peerAddress());
  }
}
