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
 * Creates the components of a router from its configuration: the Thrift server for clients, the
 * RESP transport to workers, and the core on its event loop. Neither the event loop nor the server
 * is started.
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
  private final RespWorkerTransport workerTransport;
  private final ThriftServer thriftServer;

  PlatformAssembly(PlatformConfig config, RateLimitedLog log) throws IOException {
    settings = config.settings();
    limits = new PlatformLimits(settings, config.maxSockets());
    diagnostics = RouterDiagnostics.of(settings, log::line, log.isTracing() ? log::trace : null);
    network = new NetworkTransport(SELECTOR_THREADS, "net");
    // circular dependency: the core needs the transport, the transport needs the event loop,
    // and the event loop creates the core
    AtomicReference<RespWorkerTransport> transport = new AtomicReference<>();
    eventLoop =
        new EventLoop(
            loop -> {
              transport.set(createWorkerTransport(loop));
              return createRouterCore(transport.get(), config.seed());
            },
            "loop",
            lateMicros -> {},
            error -> PlatformProcess.halt(log, "event loop tick failed", error),
            network::awaitPendingReads);
    workerTransport = transport.get();
    thriftServer = createThriftServer();
  }

  private RespWorkerTransport createWorkerTransport(EventLoop loop) {
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

  private RouterCore createRouterCore(RespWorkerTransport transport, long seed) {
    RouterCore core = new RouterCore(settings, seed, transport, limits.core());
    core.observe(new AttemptObserver(diagnostics.events()));
    return core;
  }

  private ThriftServer createThriftServer() {
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

  RespWorkerTransport workerTransport() {
    return workerTransport;
  }

  ThriftServer thriftServer() {
    return thriftServer;
  }
}
