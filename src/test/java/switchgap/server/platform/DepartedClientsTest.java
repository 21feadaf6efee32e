package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that close, withdraw or come again between two steps of the router; the crossing is forced by
 * holding its loop.
 */
class DepartedClientsTest extends PlatformFixture {
    private ThriftTestClient served(ThriftTestClient c, RespTestServer w, int number) throws Exception {
        String id = id();
        c.ask(number, ThriftTestClient.fields("again", id, 900, F), "served");
        assertThat(text(c.reply())).isEqualTo(id + ":served");
        assertThat(w.came("DO").stream().filter(a -> a.id().equals(id))).hasSize(1);
        return c;
    }

    /**
     * Seen on roll+mass: a call pushed back as it came was counted as held until its connection ended, also
     * at a stop.
     */
    @Test void aCallAnsweredAsItComesIsNotHeld() throws Exception {
        serve(256, new RespTestServer(RespTestServer::well));
        ThriftTestClient c = client();
        String id = id();
        c.ask(1, ThriftTestClient.fields("again", id, 60, F), "hopeless");
        assertThat(c.reply().field()).isEqualTo(1);
        assertThat(platform.resourceUsage().pendingRequests()).isZero();
        c.ask(2, ThriftTestClient.fields("again", id, 900, F), "again");
        assertThat(text(c.reply())).isEqualTo(id + ":again");
    }

    /**
     * Seen on roll+mass and join+mass: the round that should have given up came 3 ms past the limit, and
     * nothing was said.
     */
    @Test void aCallWhoseLimitPassedWhileTheRouterStoodStillGetsItsAnswer() throws Exception {
        RespTestServer w = new RespTestServer(
            (a, out) -> a.word().equals("DO") || RespTestServer.well(a, out));
        serve(256, w);
        ThriftTestClient c = client();
        c.ask(1, ThriftTestClient.fields("again", id(), 300, F), "x");
        c.ask(2, ThriftTestClient.fields("once", id(), 300, "00000000000000f2"), "x");
        until(() -> w.came("DO").size() == 2);
        ThriftTestClient late = client();
        try (AutoCloseable gate = holdLoop()) {
            late.ask(1, ThriftTestClient.fields("again", id(), 150, F), "read and not yet taken");
            Thread.sleep(400); // past each limit
        }
        assertThat(List.of(c.reply().number(), c.reply().number())).containsExactlyInAnyOrder(1, 2);
        assertThat(late.reply().field()).isEqualTo(1);
        assertThat(platform.resourceUsage().pendingRequests()).isZero();
    }

    @Test void whatIsWithdrawnBehindItInTheQueueNeverGoesOut() throws Exception {
        RespTestServer w = new RespTestServer(RespTestServer::well);
        serve(256, w);
        ThriftTestClient c = client();
        String withdrawn = id();
        String closed = id();
        ThriftTestClient leaves = client();
        read(leaves, 1);
        served(client(), w, 1); // a copy stands: the next one goes out as it is taken
        try (AutoCloseable gate = holdLoop()) {
            c.ask(1, ThriftTestClient.fields("again", withdrawn, 900, F), "x");
            c.revoke(2, 1);
            read(c, 3);
            leaves.ask(2, ThriftTestClient.fields("again", closed, 900, F), "x");
            read(leaves, 3);
            leaves.close();
            until(() -> platform.connected() == 2);
        }
        served(c, w, 4);
        assertThat(w.asked).noneMatch(a -> a.id().equals(withdrawn) || a.id().equals(closed));
        assertThat(platform.resourceUsage().pendingRequests()).isZero();
    }

    /**
     * The answer that lets a second execution begin, and the end of the client, taken in one round in this
     * order.
     */
    @Test void noFurtherExecutionBeginsInTheRoundInWhichTheClientsEndIsWaiting() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        RespTestServer.Behaviour manner = (a, out) -> {
            if (!a.word().equals("DO") || !a.words().get(3).equals("turned away")) {
                return RespTestServer.well(a, out);
            }
            answer.await();
            RespTestServer.say(out, a.id(), "full", "-", "");
            answered.countDown();
            return true;
        };
        RespTestServer one = new RespTestServer(manner);
        RespTestServer two = new RespTestServer(manner);
        serve(256, one, two);
        ThriftTestClient usual = client();
        int n = 0;
        while (one.came("DO").isEmpty() || two.came("DO").isEmpty()) { // a connection to each is up
            usual.ask(++n, ThriftTestClient.fields("again", id(), 900, String.format("%016x", n)), "x");
            assertThat(usual.reply().field()).isZero();
        }
        ThriftTestClient leaves = client();
        String id = id();
        leaves.ask(1, ThriftTestClient.fields("again", id, 900, String.format("%016x", n)), "turned away");
        until(() -> one.came("DO").size() + two.came("DO").size() > usualCalls(one, two, id));
        int before = platform.connected();
        try (AutoCloseable gate = holdLoop()) {
            answer.countDown();
            answered.await();
            read(usual, ++n); // twice: what came before the first has been read with the second
            read(usual, ++n);
            leaves.close();
            until(() -> platform.connected() == before - 1);
        }
        usual.ask(++n, ThriftTestClient.fields("again", id(), 900, F), "x");
        assertThat(usual.reply().field()).isZero();
        assertThat(one.came("DO").size() + two.came("DO").size() - usualCalls(one, two, id)).isEqualTo(1);
    }

    private static int usualCalls(RespTestServer one, RespTestServer two, String but) {
        return (int) java.util.stream.Stream.of(one, two).flatMap(p -> p.came("DO").stream()).filter(
            a -> !a.id().equals(but)).count();
    }

    /**
     * Without leave to cancel, too: an execution that waits for its connection went out when that came up,
     * for nobody.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false}) void whatWaitsForAConnectionDoesNotGoOutOnceItsClientHasLeft(
        boolean mayCancel) throws Exception {
        settings = settings.replace("\"Cancel\":true", "\"Cancel\":" + mayCancel).replace(
            "\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000").replace(
                "\"AimUs\":300000,\"DeadlineUs\":1000000", "\"AimUs\":4000000,\"DeadlineUs\":9000000");
        ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress()); // takes no connection yet
        open.add(full);
        List<Socket> before = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Socket s = new Socket(full.getInetAddress(), full.getLocalPort());
            open.add(s);
            before.add(s);
        }
        serveAt(256, "127.0.0.1:" + full.getLocalPort());
        ThriftTestClient stays = client();
        ThriftTestClient leaves = client();
        String left = id();
        String kept = id();
        leaves.ask(1, ThriftTestClient.fields("again", left, 8000, F), "x");
        until(() -> usage().pendingRequests() == 1 && usage().workerConnections() > 0);
        stays.ask(1, ThriftTestClient.fields("again", kept, 8000, F), "x");
        until(() -> usage().pendingRequests() == 2);
        leaves.close();
        until(() -> usage().pendingRequests() == 1);
        CountDownLatch came = new CountDownLatch(1);
        StringBuilder heard = new StringBuilder();
        Thread accepts = new Thread(() -> {
            try {
                for (int n = 0;; n++) {
                    Socket s = full.accept();
                    open.add(s);
                    if (n >= before.size()) {
                        byte[] some = new byte[4096];
                        for (int k = s.getInputStream().read(some); k
                            > 0; k = s.getInputStream().read(some)) {
                            heard.append(
                                new String(some, 0, k, java.nio.charset.StandardCharsets.ISO_8859_1));
                            if (heard.indexOf(kept) >= 0) { came.countDown(); }
                        }
                    }
                }
            } catch (java.io.IOException x) {
                return; // closed
            }
        });
        accepts.setDaemon(true);
        accepts.start();
        assertThat(came.await(6, java.util.concurrent.TimeUnit.SECONDS)).isTrue();
        assertThat(heard.toString()).contains(kept).doesNotContain(left);
    }

    private ResourceUsage usage() {
        try {
            return platform.resourceUsage();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The client's new connection is read before the end of the old one, which the router itself closed. */
    @Test void aCallSentAgainOnANewConnectionDoesNotMeetItself() throws Exception {
        RespTestServer w = new RespTestServer((a,
            out) -> a.word().equals("DO") && a.words().get(3).equals("first") || RespTestServer.well(a, out));
        serve(256, w);
        ThriftTestClient old = client();
        ThriftTestClient anew = client();
        read(anew, 1);
        String id = id();
        old.ask(1, ThriftTestClient.fields("again", id, 900, F), "first");
        until(() -> w.came("DO").size() == 1);
        try (AutoCloseable gate = holdLoop()) {
            old.ask(1, ThriftTestClient.fields("again", id(), 900, F),
                "under a number that is taken: the router closes");
            read(old, 2);
            anew.ask(2, ThriftTestClient.fields("again", id, 900, F), "second");
            read(anew, 3);
        }
        assertThat(text(anew.reply())).isEqualTo(id + ":second");
        assertThat(old.reply()).isNull();
    }

    /**
     * With each place taken by connections that wait for an answer, the one that has just come goes, not one
     * of them.
     */
    @Test void aConnectionWithACallIsNeverTheOneThatMakesRoom() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        RespTestServer w = new RespTestServer((a, out) -> {
            if (a.word().equals("DO")) { answer.await(); }
            return RespTestServer.well(a, out);
        });
        serve(30, w); // ten places
        List<ThriftTestClient> all = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            ThriftTestClient c = client();
            c.ask(1, ThriftTestClient.fields("again", id(), 900, F), "x");
            all.add(c);
        }
        until(() -> usage().pendingRequests() == 10);
        try (AutoCloseable gate = holdLoop()) {
            ThriftTestClient newest = client();
            newest.ask(1, ThriftTestClient.fields("again", id(), 900, F), "x"); // it is busy, too
            read(newest, 2);
            all.add(newest);
        }
        until(() -> platform.connected() == 10);
        answer.countDown();
        for (int i = 0; i < 10; i++) { assertThat(all.get(i).reply()).as("client %d", i).isNotNull(); }
        assertThat(all.get(10).reply()).isNull();
    }
}
