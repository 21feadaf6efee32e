package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.WorkerEntry;
import switchgap.testing.TestDiagnostics;

/**
 * Tests a pool on real sockets. The test runs the event loop's events one by one and controls the
 * clock.
 */
class RespConnectionPoolTest implements ResponseListener {
  private static final Duration TIMEOUT = Duration.ofMillis(100);
  private static final int EVENT_TIMEOUT_SECONDS = 5;
  private static final int OBSERVATION_MILLIS = 200;
  private static final int MANY_WORKERS = 20_000;
  private static final int EVICTIONS = 2000;

  private final LinkedBlockingQueue<Consumer<RouterCore>> events = new LinkedBlockingQueue<>();
  private final List<AttemptOutcome> outcomes = new ArrayList<>();
  private final NetworkTransport net;
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final WorkerEntry worker = new WorkerEntry("w", "127.0.0.1", server.getLocalPort(), 0);
  private volatile Duration now = Duration.ZERO;
  private final RespConnectionManager manager;
  private final RespConnectionPool pool;
  private final RouterDiagnostics diagnostics = TestDiagnostics.create();

  RespConnectionPoolTest() throws IOException {
    net = new NetworkTransport(1, "pool-test");
    manager =
        new RespConnectionManager(net, RespTestLimits.SMALL, () -> now, events::add, diagnostics);
    pool = manager.poolFor(worker);
  }

  private RespExchange exchange(String id) {
    PendingRequest request = PendingRequest.builder(id, "f", Duration.ofMinutes(1), this).build();
    return RespExchange.ofAttempt(
        new Attempt(request, 0, worker, now),
        remaining -> RespCommand.execute(id, "batch", "f", remaining.toMillis(), new byte[0]),
        now.plus(TIMEOUT).toNanos(),
        (core, outcome, reply) -> outcomes.add(outcome));
  }

  private byte[] command(RespExchange exchange) {
    return exchange.encodeCommand(now.toNanos(), diagnostics);
  }

  private Consumer<RouterCore> takeNextEvent() throws InterruptedException {
    Consumer<RouterCore> event = events.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(event).as("event within %d s", EVENT_TIMEOUT_SECONDS).isNotNull();
    return event;
  }

  private void runNextEvent() throws InterruptedException {
    takeNextEvent().accept(null);
  }

  private static String read(Socket socket, int bytes) throws IOException {
    return RespTestStrings.text(socket.getInputStream().readNBytes(bytes));
  }

  private static void assertSilent(Socket socket) throws IOException {
    socket.setSoTimeout(OBSERVATION_MILLIS);
    assertThatThrownBy(() -> socket.getInputStream().read())
        .isInstanceOf(SocketTimeoutException.class);
  }

  private static void assertClosed(Socket socket) throws IOException {
    socket.setSoTimeout(EVENT_TIMEOUT_SECONDS * 1000);
    assertThat(socket.getInputStream().read()).isNegative();
  }

  @Test
  void waitsForConnectionAndEndsWithReply() throws Exception {
    RespExchange exchange = exchange("1");
    pool.submit(exchange);
    assertThat(exchange.state()).isEqualTo(RespExchange.State.WAITING);
    try (Socket socket = server.accept()) {
      runNextEvent();
      assertThat(exchange.state()).isEqualTo(RespExchange.State.IN_FLIGHT);
      assertThat(read(socket, command(exchange).length))
          .isEqualTo(RespTestStrings.text(command(exchange)));
      socket.getOutputStream().write(RespCommandEncoder.encode("1", "full", "-", ""));
      runNextEvent();
      assertThat(outcomes).containsExactly(AttemptOutcome.REJECTED);
    }
  }

  @Test
  void cancelsAttemptAtWorkerWhenAbandonedInFlight() throws Exception {
    RespExchange exchange = exchange("1");
    pool.submit(exchange);
    try (Socket socket = server.accept()) {
      runNextEvent();
      assertThat(pool.abandon(exchange)).isEqualTo(AttemptOutcome.TIMED_OUT);
      assertThat(read(socket, command(exchange).length))
          .isEqualTo(RespTestStrings.text(command(exchange)));
      byte[] cancel = RespCommand.cancel("1");
      assertThat(read(socket, cancel.length)).isEqualTo(RespTestStrings.text(cancel));
    }
    assertThat(outcomes).isEmpty();
  }

  @Test
  void endsExchangesInFlightWhenConnectionIsLost() throws Exception {
    RespExchange exchange = exchange("1");
    pool.submit(exchange);
    try (Socket socket = server.accept()) {
      runNextEvent();
      read(socket, command(exchange).length);
    }
    runNextEvent();
    assertThat(outcomes).containsExactly(AttemptOutcome.CONNECTION_LOST);
  }

  @Test
  void endsWaitingExchangeAsConnectFailedWhenWorkerRefusesConnections() throws Exception {
    server.close();
    pool.submit(exchange("1"));
    runNextEvent();
    assertThat(outcomes).containsExactly(AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Guards against sending an exchange after its deadline, when the process is paused while a
   * connection is being opened. The request would then be treated as possibly executed.
   */
  @Test
  void doesNotSendExchangeThatWaitedPastItsDeadline() throws Exception {
    RespExchange exchange = exchange("1");
    pool.submit(exchange);
    try (Socket socket = server.accept()) {
      now = now.plus(TIMEOUT);
      runNextEvent();
      assertThat(exchange.state()).isEqualTo(RespExchange.State.WAITING);
      assertSilent(socket);
      runNextEvent();
      assertThat(outcomes).containsExactly(AttemptOutcome.NOT_SENT);
    }
  }

  @Test
  void abandonsWaitingExchangeAsConnectFailedWhileNoConnectionIsOpen() {
    RespExchange exchange = exchange("1");
    pool.submit(exchange);
    assertThat(pool.abandon(exchange)).isEqualTo(AttemptOutcome.CONNECT_FAILED);
    assertThat(exchange.state()).isEqualTo(RespExchange.State.ENDED);
    assertThat(outcomes).isEmpty();
  }

  @Test
  void closesConnectionWhoseReplyIsOverdue() throws Exception {
    RespExchange exchange = exchange("1");
    pool.submit(exchange);
    try (Socket socket = server.accept()) {
      Consumer<RouterCore> connectionOpened = takeNextEvent();
      // A connection is treated as responsive at the time of its opening, so the exchange must be
      // sent later than that.
      now = now.plusMillis(1);
      connectionOpened.accept(null);
      int commandBytes = command(exchange).length;
      now = TIMEOUT;
      assertThat(pool.abandon(exchange)).isEqualTo(AttemptOutcome.TIMED_OUT);
      read(socket, commandBytes);
      assertClosed(socket);
      runNextEvent();
      assertThat(manager.connectionCount()).isZero();
    }
  }

  @Test
  void closesConnectionAfterItsIdleTimeout() throws Exception {
    pool.submit(exchange("1"));
    try (Socket socket = server.accept()) {
      runNextEvent();
      socket.getOutputStream().write(RespCommandEncoder.encode("1", "full", "-", ""));
      runNextEvent();
      now = now.plus(RespTestLimits.SMALL.idleTimeout()).minusNanos(1);
      manager.sweep();
      assertThat(events.poll(OBSERVATION_MILLIS, TimeUnit.MILLISECONDS)).isNull();
      now = now.plusNanos(1);
      manager.sweep();
      runNextEvent();
      assertThat(manager.connectionCount()).isZero();
    }
  }

  @Test
  void endsWaitingExchangeAsNotSentWhenWorkerIsGone() throws Exception {
    pool.submit(exchange("1"));
    try (Socket socket = server.accept()) {
      pool.retire();
      runNextEvent(); // Events: connection opened and exchange ended, in any order.
      runNextEvent();
      assertThat(outcomes).containsExactly(AttemptOutcome.NOT_SENT);
      assertClosed(socket);
      assertThat(manager.connectionCount()).isZero();
      assertThat(pool.isDisposable()).isTrue();
    }
  }

  /** Opens one connection to each of as many workers as connections are allowed. */
  private List<Socket> openAllowedConnections() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < RespTestLimits.SMALL.maxConnections(); i++) {
      RespExchange exchange = exchange(String.valueOf(i));
      manager.poolFor(workerNumber(i)).submit(exchange);
      sockets.add(server.accept());
      runNextEvent();
      read(sockets.get(i), command(exchange).length);
    }
    assertThat(manager.connectionCount()).isEqualTo(RespTestLimits.SMALL.maxConnections());
    return sockets;
  }

  private WorkerEntry workerNumber(int number) {
    return new WorkerEntry("w" + number, "127.0.0.1", server.getLocalPort(), number);
  }

  private void reply(Socket socket, int id) throws Exception {
    now = now.plusMillis(1);
    socket.getOutputStream().write(RespCommandEncoder.encode(String.valueOf(id), "full", "-", ""));
    runNextEvent();
  }

  @Test
  void evictsLeastRecentlyUsedIdleConnectionOfAllWorkers() throws Exception {
    List<Socket> sockets = openAllowedConnections();
    assertThat(manager.ensureCapacity()).as("all in use").isFalse();
    reply(sockets.get(2), 2);
    reply(sockets.get(1), 1);
    assertThat(manager.ensureCapacity()).isTrue();
    assertClosed(sockets.get(2));
    assertThat(manager.ensureCapacity()).isTrue();
    assertClosed(sockets.get(1));
    assertThat(manager.ensureCapacity()).isFalse();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private long processorNanosOfEvictions() {
    long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    for (int i = 0; i < EVICTIONS; i++) {
      assertThat(manager.ensureCapacity()).isFalse();
    }
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos;
  }

  /** Guards against a look at each worker of a large fleet for each exchange (review case 6). */
  @Test
  void evictionTakesNoLongerInLargeFleet() throws Exception {
    List<Socket> sockets = openAllowedConnections();
    processorNanosOfEvictions(); // compiles the code
    long smallFleetNanos = processorNanosOfEvictions();
    for (int i = 0; i < MANY_WORKERS; i++) {
      manager.poolFor(workerNumber(i));
    }
    assertThat(processorNanosOfEvictions()).isLessThan(10 * smallFleetNanos);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Override
  public void responded(PendingRequest request, Response response) {}

  @Override
  public void deadlineMissed(PendingRequest request, Response lateResponse) {}

  @AfterEach
  void close() throws IOException {
    server.close();
    net.close();
  }
}
