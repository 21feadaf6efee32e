package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.testing.BoundedWait.until;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import switchgap.net.NetworkTransport;
import switchgap.planner.LoadPlan;
import switchgap.planner.PlannerMessage;
import switchgap.planner.link.PlannerClient;
import switchgap.planner.link.PlannerMessageCodec;

/**
 * Router and planner over a socket: load commands follow plans; a planner that fails affects no
 * request.
 */
class RouterAndPlannerTest {
  private static final String PLANNER_CONFIG =
      """
      planner: {port: 0, patience: 60ms}
      workers: {miss: answers, orders: true}
      """;

  /** A worker that has no function loaded until it is commanded to load one. */
  private static final class LoadCountingWorker implements AutoCloseable {
    final AtomicInteger loads = new AtomicInteger();
    final HttpTestServer peer =
        new HttpTestServer(
            (request, out) -> {
              if (request.line().contains("/load")) {
                loads.incrementAndGet();
              }
              if (request.line().contains("/infer") && loads.get() == 0) {
                out.write(HttpTestServer.response(404, "", "{}"));
                return true;
              }
              return HttpTestServer.echo(request, out);
            });

    LoadCountingWorker() throws Exception {}

    @Override
    public void close() throws java.io.IOException {
      peer.close();
    }
  }

  private static NetworkTransport network() throws Exception {
    return new NetworkTransport(1, "test-planner");
  }

  private static InetSocketAddress plannerAddress(GatewayFixture fixture) {
    return new InetSocketAddress("127.0.0.1", fixture.gateway.plannerPort());
  }

  /**
   * The function is loaded at the first miss: requests are rejected until it is loaded, then one
   * succeeds.
   */
  private static void awaitSuccess(GatewayFixture fixture) throws Exception {
    int status = 503;
    for (int i = 0; i < 100 && status == 503; i++) {
      status = fixture.invoke("again-1", "1").statusCode();
      Thread.sleep(40);
    }
    assertThat(status).isEqualTo(200);
    assertThat(fixture.gateway.pendingRequests()).isZero();
  }

  private static void send(DataOutputStream out, PlannerMessage message) throws Exception {
    byte[] bytes = PlannerMessageCodec.encode(message);
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  private static PlannerMessage read(DataInputStream in) throws Exception {
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return PlannerMessageCodec.decode(bytes);
  }

  @Test
  void aLoadCommandIsSentWhenThePlanSaysSo() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = new GatewayFixture(PLANNER_CONFIG, worker.peer);
        NetworkTransport net = network();
        PlannerClient planner = new PlannerClient(net, plannerAddress(fixture), 0)) {
      until(planner::isLinked);
      awaitSuccess(fixture);
      until(() -> fixture.gateway.loadPlanCounts().planned() > 0);
      assertThat(worker.loads.get()).isEqualTo(1);
      assertThat(fixture.gateway.loadPlanCounts().rejected()).isZero();
      assertThat(fixture.get("/v1/status").body())
          .contains("\"state\" : \"led\"")
          .contains("\"led\" : 1");
    }
  }

  @Test
  void requestsSucceedWithoutAPlanner() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = new GatewayFixture(PLANNER_CONFIG, worker.peer);
        NetworkTransport net = network()) {
      PlannerClient planner = new PlannerClient(net, plannerAddress(fixture), 0);
      until(planner::isLinked);
      planner.close();
      awaitSuccess(fixture);
      assertThat(worker.loads.get()).isEqualTo(1);
    }
  }

  @Test
  void aSilentPlannerDelaysLoadCommandsByThePatienceAtMost() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = new GatewayFixture(PLANNER_CONFIG, worker.peer);
        Socket silent = new Socket("127.0.0.1", fixture.gateway.plannerPort())) {
      DataOutputStream out = new DataOutputStream(silent.getOutputStream());
      send(out, new PlannerMessage.Hello(PlannerMessageCodec.VERSION, "planner", 0, 0));
      assertThat(read(new DataInputStream(silent.getInputStream())))
          .isInstanceOf(PlannerMessage.Hello.class);
      awaitSuccess(fixture);
      assertThat(fixture.gateway.loadPlanCounts().timedOut()).isPositive(); // the patience was over
    }
  }

  @Test
  void invalidHandshakesAreRefusedWithTheReason() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = new GatewayFixture(PLANNER_CONFIG, worker.peer);
        NetworkTransport net = network();
        PlannerClient planner = new PlannerClient(net, plannerAddress(fixture), 0)) {
      until(planner::isLinked);
      PlannerMessage[] firstMessages = {
        new PlannerMessage.Hello(PlannerMessageCodec.VERSION + 1, "planner", 0, 0),
        new PlannerMessage.Hello(PlannerMessageCodec.VERSION, "edge", 0, 0),
        new PlannerMessage.Hello(PlannerMessageCodec.VERSION, "planner", 5, 0),
        new PlannerMessage.Hello(PlannerMessageCodec.VERSION, "planner", 0, 0),
        new PlannerMessage.Heartbeat(1)
      };
      String[] reasons = {
        "version 3", "no planner", "router 5", "linked already", "before the handshake"
      };
      for (int i = 0; i < firstMessages.length; i++) {
        try (Socket client = new Socket("127.0.0.1", fixture.gateway.plannerPort())) {
          send(new DataOutputStream(client.getOutputStream()), firstMessages[i]);
          PlannerMessage answer = read(new DataInputStream(client.getInputStream()));
          assertThat(answer).isInstanceOf(PlannerMessage.Rejected.class);
          assertThat(((PlannerMessage.Rejected) answer).why()).contains(reasons[i]);
        }
      }
      assertThat(planner.isLinked()).isTrue();
      awaitSuccess(fixture);
    }
  }

  @Test
  void malformedFramesAndInvalidPlansDoNotAffectRequests() throws Exception {
    try (LoadCountingWorker worker = new LoadCountingWorker();
        GatewayFixture fixture = new GatewayFixture(PLANNER_CONFIG, worker.peer)) {
      int port = fixture.gateway.plannerPort();
      try (Socket client = new Socket("127.0.0.1", port)) {
        // a frame of 1 GB
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
        until(() -> fixture.gateway.loadPlanCounts().rejected() == 3);
        out.writeInt(400); // half a frame, then the end
        out.write(new byte[17]);
      }
      awaitSuccess(fixture);
      assertThat(worker.loads.get()).isEqualTo(1);
    }
  }
}
