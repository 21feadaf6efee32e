package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import switchgap.net.NetworkTransport;
import switchgap.planner.LoadPlan;
import switchgap.planner.link.PlannerClient;
import switchgap.planner.link.PlannerMessageCodec;

/** Edge and planner over a socket: loads are led, a planner's death or nonsense disturbs no call. */
class EdgeAndPlannerTest {
    private static final String LINK = "planner: {port: 0, patience: 60ms}\nworkers: {miss: answers, orders: true}\n";

    private static final class Loads implements AutoCloseable {
        final AtomicInteger loads = new AtomicInteger();
        final HttpTestServer peer = new HttpTestServer((q, out) -> {
            if (q.line().contains("/load")) { loads.incrementAndGet(); }
            if (q.line().contains("/infer") && loads.get() == 0) {
                out.write(HttpTestServer.http(404, "", "{}"));
                return true;
            }
            return HttpTestServer.well(q, out);
        });

        Loads() throws Exception {}

        @Override public void close() throws java.io.IOException { peer.close(); }
    }

    private static NetworkTransport net() throws Exception { return new NetworkTransport(1, "test-planner"); }

    private static InetSocketAddress at(GatewayFixture s) {
        return new InetSocketAddress("127.0.0.1", s.gateway.plannerPort());
    }

    /** The function is loaded at the first miss: calls are pushed back until it stands, each has its answer, then one is finished. */
    private static void answered(GatewayFixture s) throws Exception {
        int status = 503;
        for (int i = 0; i < 100 && status == 503; i++) {
            status = s.invoke("again-1", "1").statusCode();
            Thread.sleep(40);
        }
        assertThat(status).isEqualTo(200);
        assertThat(s.gateway.held()).isZero();
    }

    private static void send(DataOutputStream out, Object message) throws Exception {
        byte[] b = PlannerMessageCodec.encode(message);
        out.writeInt(b.length);
        out.write(b);
        out.flush();
    }

    private static Object read(DataInputStream in) throws Exception {
        byte[] b = new byte[in.readInt()];
        in.readFully(b);
        return PlannerMessageCodec.decode(b);
    }

    @Test void aLoadGoesOutAtThePlannersWord() throws Exception {
        try (Loads w = new Loads(); GatewayFixture s = new GatewayFixture(LINK, w.peer);
            NetworkTransport net = net();
            PlannerClient p = new PlannerClient(net, at(s), 0)) {
            GatewayFixture.until(p::linked);
            answered(s);
            GatewayFixture.until(() -> s.gateway.loadPlanCounts().planned() > 0);
            assertThat(w.loads.get()).isEqualTo(1);
            assertThat(s.gateway.loadPlanCounts().refused()).isZero();
            assertThat(s.get("/v1/status").body()).contains("\"state\" : \"led\"").contains("\"led\" : 1");
        }
    }

    @Test void withNoPlannerOrADeadOneCallsAreAnswered() throws Exception {
        try (Loads w = new Loads(); GatewayFixture s = new GatewayFixture(LINK, w.peer);
            NetworkTransport net = net()) {
            PlannerClient p = new PlannerClient(net, at(s), 0);
            GatewayFixture.until(p::linked);
            p.close();
            answered(s);
            assertThat(w.loads.get()).isEqualTo(1);
        }
    }

    @Test void aSilentPlannerCostsThePatienceAndNoMore() throws Exception {
        try (Loads w = new Loads(); GatewayFixture s = new GatewayFixture(LINK, w.peer);
            Socket mute = new Socket("127.0.0.1", s.gateway.plannerPort())) {
            DataOutputStream out = new DataOutputStream(mute.getOutputStream());
            send(out, new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION, "planner", 0, 0));
            assertThat(read(new DataInputStream(mute.getInputStream()))).isInstanceOf(
                PlannerMessageCodec.Hello.class);
            answered(s);
            assertThat(s.gateway.loadPlanCounts().timedOut()).isPositive(); // its time was over
        }
    }

    @Test void whoCannotBeAPlannerIsRefusedByName() throws Exception {
        try (Loads w = new Loads(); GatewayFixture s = new GatewayFixture(LINK, w.peer);
            NetworkTransport net = net(); PlannerClient p = new PlannerClient(net, at(s), 0)) {
            GatewayFixture.until(p::linked);
            Object[] firsts = {
                new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION + 1, "planner", 0, 0),
                new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION, "edge", 0, 0),
                new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION, "planner", 5, 0),
                new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION, "planner", 0, 0),
                new PlannerMessageCodec.Heartbeat(1)};
            String[] why = {"version 3", "no planner", "router 5", "linked already", "before the handshake"};
            for (int i = 0; i < firsts.length; i++) {
                try (Socket c = new Socket("127.0.0.1", s.gateway.plannerPort())) {
                    send(new DataOutputStream(c.getOutputStream()), firsts[i]);
                    Object answer = read(new DataInputStream(c.getInputStream()));
                    assertThat(answer).isInstanceOf(PlannerMessageCodec.Refused.class);
                    assertThat(((PlannerMessageCodec.Refused) answer).why()).contains(why[i]);
                }
            }
            assertThat(p.linked()).isTrue();
            answered(s);
        }
    }

    @Test void garbageHalfFramesAndWrongPlansDisturbNoCall() throws Exception {
        try (Loads w = new Loads(); GatewayFixture s = new GatewayFixture(LINK, w.peer)) {
            int port = s.gateway.plannerPort();
            try (Socket c = new Socket("127.0.0.1", port)) {
                c.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)); // a frame of 1 GB
                assertThat(c.getInputStream().read()).isEqualTo(-1);
            }
            try (Socket c = new Socket("127.0.0.1", port)) {
                DataOutputStream out = new DataOutputStream(c.getOutputStream());
                out.writeInt(5);
                out.write(new byte[] {1, 2, 3, 4, 5});
                out.flush();
                assertThat(read(new DataInputStream(c.getInputStream()))).isInstanceOf(
                    PlannerMessageCodec.Refused.class);
            }
            try (Socket c = new Socket("127.0.0.1", port)) {
                DataOutputStream out = new DataOutputStream(c.getOutputStream());
                send(out, new PlannerMessageCodec.Hello(PlannerMessageCodec.VERSION, "planner", 0, 0));
                PlannerMessageCodec.Hello h = (PlannerMessageCodec.Hello) read(
                    new DataInputStream(c.getInputStream()));
                send(out, new LoadPlan(h.epoch(), 1, new long[] {99, -4}));
                send(out, new LoadPlan(h.epoch() + 1, 1, new long[] {0}));
                GatewayFixture.until(() -> s.gateway.loadPlanCounts().refused() == 3);
                out.writeInt(400); // half a frame, then the end
                out.write(new byte[17]);
            }
            answered(s);
            assertThat(w.loads.get()).isEqualTo(1);
        }
    }
}
