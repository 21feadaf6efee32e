package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One account of the descriptors: clients, workers, and a quarter that is nobody's, each at its bound. */
class DescriptorLimitTest extends PlatformFixture {
    private static final int SOCKETS = 48; // sixteen for clients, sixteen for workers

    @Test void clientsStayWithinTheirsWhileTheLoopStandsStill() throws Exception {
        serve(SOCKETS, new RespTestServer(RespTestServer::well));
        int most = 0;
        try (AutoCloseable gate = holdLoop()) {
            for (int i = 0; i < 60; i++) {
                ThriftTestClient c = client();
                until(() -> c.socket.isConnected());
                most = Math.max(most, platform.connected());
            }
            until(() -> platform.connected() == SOCKETS / 3 + SOCKETS / 12);
            most = Math.max(most, platform.connected());
        }
        assertThat(most).isLessThanOrEqualTo(SOCKETS / 3 + SOCKETS / 12 + 1); // one is counted while it is being turned away
        until(() -> platform.connected() <= SOCKETS / 3);
        ThriftTestClient usual = client();
        usual.ask(1, ThriftTestClient.fields("again", id(), 900, F), "x");
        assertThat(usual.reply().field()).isZero();
    }

    /** The fleet grows to three times as many workers as their share of the descriptors. */
    @Test void workersShareTheirsHoweverManyTheyAre() throws Exception {
        List<RespTestServer> peers = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            RespTestServer p = new RespTestServer(RespTestServer::well);
            open.add(p);
            peers.add(p);
            lines.add(ControlFeedServer.worker("n" + i, p.at(), "SERVING", 0));
        }
        serve(SOCKETS, new RespTestServer(RespTestServer::well));
        until(() -> !feed.asked.isEmpty());
        feed.say(ControlFeedServer.event(2, false, lines.toArray(new String[0])));
        ThriftTestClient c = client();
        int most = 0;
        for (int n = 1; n <= 400; n++) {
            c.ask(n, ThriftTestClient.fields("again", id(), 900, String.format("%016x", n)), "x");
            assertThat(c.reply().field()).as("call %d", n).isZero();
            most = Math.max(most, platform.resourceUsage().workerConnections());
        }
        assertThat(peers.stream().filter(p -> !p.came("DO").isEmpty()).count()).isGreaterThan(SOCKETS / 2);
        assertThat(most).isBetween(SOCKETS / 4, SOCKETS / 3 + 2); // one that makes room is closed as the next is opened
    }
}
