package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.testing.BoundedWait.until;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import switchgap.net.NetworkTransport;
import switchgap.planner.LoadPlan;
import switchgap.planner.PlannerMessage;
import switchgap.planner.link.PlannerClient;
import switchgap.planner.link.PlannerMessageCodec;

/**
 * Connects a router and a planner over a socket: load commands follow plans, and a failing planner
 * affects no request.
 */
class RouterAndPlannerTest {
  private static final String PLANNER_CONFIG =
      """
      planner: {port: 0, patience: 60ms}
      workers: {miss: answers, orders: true}
      """;

  /** A worker that responds 404 to inference requests until it gets its first load command. */
  private static final class LoadCountingWorker implements AutoCloseable {
    private final AtomicInteger loads = new AtomicInteger();
    private final HttpTestServer server = new HttpTestServer(this::respond);

    LoadCountingWorker() throws IOException {}

    int loadCount() {
      return loads.get();
    }

    private boolean respond(HttpTestServer.ReceivedRequest request, OutputStream out)
        throws IOException {
      if (request.line().contains("/load")) {
        loads.incrementAndGet();
      }
      if (request.isInference() && loads.get() == 0) {
        out.write(HttpTestServer.response(404, "", "{}"));
        return true;
      }
      return HttpTestServer.echo(request, out);
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private static GatewayFixture start(LoadCountingWorker worker) throws IOException {
    return GatewayFixture.builder().sections(PLANNER_CONFIG).workers(worker.server).start();
  }

  private static NetworkTransport network() throws Exception {
    return new NetworkTransport(1, "test-planner");
  }

  private static InetSocketAddress plannerAddress(GatewayFixture fixture) {
    return new InetSocketAddress("127.0.0.1", fixture.router().plannerPort());
  }

  /**
   * Sends requests until one succeeds. The function is loaded on the first miss, and requests are
   * rejected with 503 until it is loaded.
   */
  private static void awaitSuccess(GatewayFixture fixture) throws Exception {
    AtomicInteger status = new AtomicInteger();
    until(
        Duration.ofSeconds(4),
        () -> {
          status.set(fixture.invokeAsync(IDEMPOTENT, "1").join().statusCode());
          return status.get() != 503;
        });
    assertThat(status.get()).isEqualTo(200);
    assertThat(fixture.router().pendingRequests()).isZero();
  }

  private static void send(DataOutputStream output, PlannerMessage message) throws Exception {
    byte[] bytes = PlannerMessageCodec.encode(message);
    output.writeInt(bytes.length);
    output.write(bytes);
    output.flush();
  }

  private static PlannerMessage read(DataInputStream input) throws Exception {
    byte[] bytes = new byte[input.readInt()];
    input.readFully(bytes);
    return PlannerMessageCodec.decode(bytes);
  }

  @Test
  void aLoadCommandIsSentWhenAPlanNamesIt() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = start(worker);
        NetworkTransport net = network();
        PlannerClient planner = new PlannerClient(net, plannerAddress(fixture), 0)) {
      until(planner::isConnected);
      awaitSuccess(fixture);
      until(() -> fixture.router().loadPlanCounts().planned() > 0);
      assertThat(worker.loadCount()).isEqualTo(1);
      assertThat(fixture.router().loadPlanCounts().rejected()).isZero();
      assertThat(fixture.get("/v1/status").body())
          .contains("\"state\" : \"led\"")
          .contains("\"led\" : 1");
    }
  }

  @Test
  void requestsSucceedAfterThePlannerDisconnected() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = start(worker);
        NetworkTransport net = network()) {
      PlannerClient planner = new PlannerClient(net, plannerAddress(fixture), 0);
      until(planner::isConnected);
      planner.close();
      awaitSuccess(fixture);
      assertThat(worker.loadCount()).isEqualTo(1);
    }
  }

  @Test
  void aSilentPlannerDelaysLoadCommandsByThePlanTimeoutAtMost() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = start(worker);
        Socket silentPlanner = new Socket("127.0.0.1", fixture.router().plannerPort())) {
      DataOutputStream out = new DataOutputStream(silentPlanner.getOutputStream());
      send(out, new PlannerMessage.Hello(PlannerMessageCodec.VERSION, "planner", 0, 0));
      assertThat(read(new DataInputStream(silentPlanner.getInputStream())))
          .isInstanceOf(PlannerMessage.Hello.class);
      awaitSuccess(fixture);
      // The load command was sent without a plan.
      assertThat(fixture.router().loadPlanCounts().timedOut()).isPositive();
    }
  }

  /** Sends the first message on a new connection and checks that it is rejected for this reason. */
  private static void assertRejected(
      GatewayFixture fixture, PlannerMessage firstMessage, String reason) throws Exception {
    try (Socket client = new Socket("127.0.0.1", fixture.router().plannerPort())) {
      send(new DataOutputStream(client.getOutputStream()), firstMessage);
      PlannerMessage reply = read(new DataInputStream(client.getInputStream()));
      assertThat(reply).isInstanceOf(PlannerMessage.Rejected.class);
      assertThat(((PlannerMessage.Rejected) reply).why()).contains(reason);
    }
  }

  @Test
  void rejectsInvalidHandshakesWithTheReason() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = start(worker);
        NetworkTransport net = network();
        PlannerClient planner = new PlannerClient(net, plannerAddress(fixture), 0)) {
      until(planner::isConnected);
      int version = PlannerMessageCodec.VERSION;
      assertRejected(fixture, new PlannerMessage.Hello(version + 1, "planner", 0, 0), "version 3");
      assertRejected(fixture, new PlannerMessage.Hello(version, "edge", 0, 0), "no planner");
      assertRejected(fixture, new PlannerMessage.Hello(version, "planner", 5, 0), "router 5");
      assertRejected(fixture, new PlannerMessage.Hello(version, "planner", 0, 0), "linked already");
      assertRejected(fixture, new PlannerMessage.Heartbeat(1), "before the handshake");
      assertThat(planner.isConnected()).isTrue();
      awaitSuccess(fixture);
    }
  }

  @Test
  void malformedFramesAndInvalidPlansDoNotAffectRequests() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = start(worker)) {
      int port = fixture.router().plannerPort();
      try (Socket client = new Socket("127.0.0.1", port)) {
        // The first four bytes are read as the length of a frame, more than 1 GB.
        client
            .getOutputStream()
            .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertThat(client.getInputStream().read()).isEqualTo(-1);
      }
      try (Socket client = new Socket("127.0.0.1", port)) {
        DataOutputStream out = new DataOutputStream(client.getOutputStream());
        out.writeInt(5);
        out.write(new byte[] {1, 2, 3, 4, 5});
        out.flush();
        assertThat(read(new DataInputStream(client.getInputStream())))
            .isInstanceOf(PlannerMessage.Rejected.class);
      }
      try (Socket client = new Socket("127.0.0.1", port)) {
        DataOutputStream out = new DataOutputStream(client.getOutputStream());
        send(out, new PlannerMessage.Hello(PlannerMessageCodec.VERSION, "planner", 0, 0));
        PlannerMessage.Hello hello =
            (PlannerMessage.Hello) read(new DataInputStream(client.getInputStream()));
        send(out, new LoadPlan(hello.epoch(), 1, new long[] {99, -4}));
        send(out, new LoadPlan(hello.epoch() + 1, 1, new long[] {0}));
        until(() -> fixture.router().loadPlanCounts().rejected() == 3);
        // An incomplete frame, then the end of the connection.
        out.writeInt(400);
        out.write(new byte[17]);
      }
      awaitSuccess(fixture);
      assertThat(worker.loadCount()).isEqualTo(1);
    }
  }
}
