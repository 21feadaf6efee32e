package switchgap.testbed.emulator;

import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import switchgap.net.HttpExchange;
import switchgap.net.NetworkTransport;

/**
 * What the model servers of a test bed share.
 *
 * @param scheduler clock and thread
 * @param net sockets
 * @param recorder log of what the servers receive and send
 * @param functions the function of a name, null for none
 * @param routerOfAddress index of the router behind a peer address
 * @param idempotencyKeys keys seen by the group of servers that drops repeats, with the time in
 *     microseconds
 * @param reportsUtilization whether load reports tell utilization and queue length
 */
public record ModelServerContext(
    Scheduler scheduler,
    NetworkTransport net,
    EventRecorder recorder,
    Function<String, FunctionModel> functions,
    ToIntFunction<String> routerOfAddress,
    Map<String, Long> idempotencyKeys,
    boolean reportsUtilization) {
  void record(LogEvent event) {
    recorder.record(event);
  }

  /** Index of the router that sent a request. */
  int routerOf(HttpExchange exchange) {
    return routerOfAddress.applyAsInt(exchange.peerAddress());
  }
}
