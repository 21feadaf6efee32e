package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** A planned restart with something under way in each place that a request or an answer can be. */
class GracefulShutdownTest extends PlatformFixture {
    private Thread stopping() throws Exception {
        Thread t = stop();
        try (ThriftTestClient c = new ThriftTestClient(platform.port())) {
            for (int n = 1;; n++) { // it is told by a heartbeat
                c.heartbeat(n);
                if (!c.reply().good()) { return t; }
            }
        }
    }

    private static void ended(Thread stopping) throws InterruptedException {
        stopping.join(5000);
        assertThat(stopping.isAlive()).isFalse();
    }

    /** The rest of a request that came in pieces comes later than the last new one may. */
    @Test void aRequestHalfComeIsWaitedFor() throws Exception {
        serve(256, new RespTestServer(RespTestServer::well));
        ThriftTestClient c = client();
        read(c, 1);
        String id = id();
        byte[] frame = ThriftTestClient.submit(2, ThriftTestClient.fields("again", id, 900, F),
            "x".getBytes());
        c.raw(Arrays.copyOf(frame, 30));
        Thread stopping = stopping();
        Thread.sleep(1400); // calls are taken for 1 s, and the piece may lie for 2 s
        c.raw(Arrays.copyOfRange(frame, 30, frame.length));
        assertThat(text(c.reply())).isEqualTo(id + ":x");
        ended(stopping);
    }

    /** Answers that their client reads slowly are written whole before the end. */
    @Test void answersAreWrittenToTheirEnd() throws Exception {
        RespTestServer w = new RespTestServer((a, out) -> {
            if (a.word().equals("DO")) {
                RespTestServer.say(out, a.id(), "data", "-", "y".repeat(16000));
                return true;
            }
            return RespTestServer.well(a, out);
        });
        serve(256, w);
        ThriftTestClient c = new ThriftTestClient(platform.port(), 4096); // its system takes little of what it does not read
        open.add(c);
        int calls = 0;
        while (platform.resourceUsage().busyClientConnections() == 0
            || platform.resourceUsage().pendingRequests() > 0) { // until answered ones wait to be written
            assertThat(++calls).isLessThan(2000);
            int asked = calls;
            c.ask(asked, ThriftTestClient.fields("again", id(), 900, F), "x");
            until(() -> w.came("DO").size() == asked);
        }
        Thread stopping = stopping();
        Thread.sleep(1300); // past the time in which calls are taken
        for (int n = 1; n <= calls; n++) {
            ThriftTestClient.Reply r = c.reply();
            assertThat(r).as("answer %d", n).isNotNull();
            assertThat(r.body()).hasSize(16000);
        }
        ended(stopping);
    }

    /** A call that may wait for longer than the system lets a router live is failed, not dropped. */
    @Test void whatCannotBeWaitedForIsFailedInTime() throws Exception {
        settings = settings.replace("\"DeadlineUs\":1000000", "\"DeadlineUs\":2900000");
        RespTestServer w = new RespTestServer(
            (a, out) -> a.word().equals("DO") || RespTestServer.well(a, out));
        serve(256, w);
        ThriftTestClient c = client();
        c.ask(1, ThriftTestClient.fields("again", id(), 5800, F), "x");
        until(() -> w.came("DO").size() == 1);
        long began = System.nanoTime();
        Thread.sleep(100);
        Thread stopping = stopping();
        Thread.sleep(500);
        ThriftTestClient late = client();
        late.ask(1, ThriftTestClient.fields("again", id(), 5800, F), "x"); // beyond its end: answered by then
        assertThat(c.reply().field()).isPositive();
        assertThat(late.reply().field()).isPositive();
        ended(stopping);
        assertThat((System.nanoTime() - began) / 1_000_000).isLessThan(3700 + 100); // SIGKILL may come then
    }

    /** With nothing under way nothing is waited for; a connection that idles does not count. */
    @Test void idleConnectionsKeepNobody() throws Exception {
        serve(256, new RespTestServer(RespTestServer::well));
        ThriftTestClient c = client();
        c.ask(1, ThriftTestClient.fields("again", id(), 60, F), "pushed back as it comes");
        assertThat(c.reply().field()).isEqualTo(1);
        long began = System.nanoTime();
        ended(stopping());
        assertThat((System.nanoTime() - began) / 1_000_000).isLessThan(2000);
        assertThat(c.reply()).isNull();
    }

    /** Read by the selector and not yet taken by the loop as the stop looks. */
    @Test void whatWaitsForTheLoopIsTaken() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        RespTestServer w = new RespTestServer((a, out) -> {
            if (a.word().equals("DO")) { answer.await(); }
            return RespTestServer.well(a, out);
        });
        serve(256, w);
        ThriftTestClient one = client();
        ThriftTestClient two = client();
        read(two, 1);
        one.ask(1, ThriftTestClient.fields("again", id(), 900, F), "x");
        until(() -> w.came("DO").size() == 1);
        Thread stopping = stopping();
        try (AutoCloseable gate = holdLoop()) {
            two.ask(2, ThriftTestClient.fields("again", id(), 900, F), "y");
            read(two, 3);
        }
        answer.countDown();
        assertThat(List.of(one.reply().field(), two.reply().field())).containsOnly(0);
        ended(stopping);
    }
}
