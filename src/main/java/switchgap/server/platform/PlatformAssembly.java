package switchgap.server.platform;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import switchgap.config.PropertyRouterSettings;
import switchgap.eventloop.EventLoop;
import switchgap.net.NetworkTransport;
import switchgap.protocol.resp.RespProtocolSettings;
import switchgap.protocol.resp.RespWorkerTransport;
import switchgap.protocol.thrift.ThriftServer;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;

/**
 * The parts of a router, put together by its configuration: Thrift to clients, RESP to workers, and
 * the core between them on its event loop. Neither the loop nor the server is started.
 */
final class PlatformAssembly {
  private static final int SELECTOR_THREADS = 1;
  private static final String REQUEST_CLASS_LIST = "Lanes";
  private static final String TENANT_LIST = "Tenants";

  private final PropertyRouterSettings settings;
  private final PlatformLimits limits;
  private final RouterDiagnostics diagnostics;
  private final NetworkTransport network;
  private final EventLoop eventLoop;
  private final RespWorkerTransport workers;
  private final ThriftServer clients;

  PlatformAssembly(PlatformConfig config, RateLimitedLog log) throws IOException {
    settings = config.settings();
    limits = new PlatformLimits(settings, config.maxSockets());
    diagnostics = RouterDiagnostics.of(settings, log::line, log.isTracing() ? log::trace : null);
    network = new NetworkTransport(SELECTOR_THREADS, "net");
    // the core needs the transport, and the transport the loop, which makes the core
    AtomicReference<RespWorkerTransport> transport = new AtomicReference<>();
    eventLoop =
        new EventLoop(
            loop -> {
              transport.set(workerTransport(loop));
              return routerCore(transport.get(), config.seed());
            },
            "loop",
            lateMicros -> {},
            error -> PlatformProcess.halt(log, "a tick failed", error),
            network::awaitPendingReads);
    workers = transport.get();
    clients = thriftServer();
  }

  private RespWorkerTransport workerTransport(EventLoop loop) {
    return new RespWorkerTransport(
        network,
        limits.workerConnections(),
        new RespProtocolSettings(requestClassNames(), settings.reportsConcurrency()),
        limits.core(),
        loop::now,
        loop::post,
        diagnostics);
  }

  private List<String> requestClassNames() {
    String[] names = new String[settings.requestClassCount()];
    settings.namedIndices(REQUEST_CLASS_LIST).forEach((name, index) -> names[index] = name);
    return Arrays.asList(names);
  }

  private RouterCore routerCore(RespWorkerTransport transport, long seed) {
    RouterCore core = new RouterCore(settings, seed, transport, limits.core());
    core.observe(new AttemptObserver(diagnostics.events()));
    return core;
  }

  private ThriftServer thriftServer() {
    return new ThriftServer(
        settings,
        settings.namedIndices(REQUEST_CLASS_LIST),
        settings.namedIndices(TENANT_LIST),
        limits.clientConnections(),
        eventLoop::now,
        eventLoop::post,
        diagnostics);
  }

  RouterDiagnostics diagnostics() {
    return diagnostics;
  }

  NetworkTransport network() {
    return network;
  }

  EventLoop eventLoop() {
    return eventLoop;
  }

  RespWorkerTransport workers() {
    return workers;
  }

  ThriftServer clients() {
    return clients;
  }
}
