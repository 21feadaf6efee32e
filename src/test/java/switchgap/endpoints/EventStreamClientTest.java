package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.net.HttpClientConnection;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.WorkerState;
import switchgap.protocol.sse.ServerSentEventDecoder;
import switchgap.router.EndpointUpdate;
import switchgap.server.platform.ControlFeedServer;

/** The control feed through all that may befall it. */
class EventStreamClientTest {
    private static final EndpointListEvent.NameDirectory BOOK = new EndpointListEvent.NameDirectory(
        Map.of("east", 0), Map.of("std", 0), 1000);

    private static String event(long n) {
        return ControlFeedServer.event(n, false,
            ControlFeedServer.worker("w" + n, "127.0.0.1:7", "SERVING", 0));
    }

    @Test void splitAnywhereEventsReadTheSame() {
        byte[] stream = ": hello\r\nid: 4\r\ndata: a\r\ndata: b\r\n\r\nid:5\ndata:c\n\ndata: cut off".getBytes(
            StandardCharsets.UTF_8);
        for (int i = 0; i <= stream.length; i++) {
            ServerSentEventDecoder sse = new ServerSentEventDecoder(100);
            List<String> got = new ArrayList<>();
            assertThat(
                sse.take(java.util.Arrays.copyOf(stream, i), (id, d) -> got.add(id + "=" + d))).isTrue();
            assertThat(sse.take(java.util.Arrays.copyOfRange(stream, i, stream.length),
                (id, d) -> got.add(id + "=" + d))).isTrue();
            assertThat(got).as("split at %d", i).containsExactly("4=a\nb", "5=c");
        }
        assertThat(new ServerSentEventDecoder(10).take("data: more than ten".getBytes(StandardCharsets.UTF_8),
            (id, d) -> {})).isFalse();
    }

    @Test void aLineBecomesAWorker() throws Exception {
        EndpointListEvent e = EndpointListEvent.parse(ControlFeedServer.event(41, true,
            ControlFeedServer.worker("s-1", "10.1.0.9:10080", "SERVING", 1500)), BOOK);
        assertThat(e.sequence()).isEqualTo(41);
        assertThat(e.complete()).isTrue();
        assertThat(e.updates()).containsExactly(new EndpointUpdate("s-1", "10.1.0.9", 10080,
            WorkerState.READY, 0, 2, 0, 4, Duration.ofMillis(500)));
        assertThat(EndpointListEvent.parse("{\"n\":5,\"news\":{}}", BOOK).updates()).isNull();
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "[]", "{}", "{\"n\":1,\"members\":{}}",
        "{\"n\":1,\"members\":{\"targets\":[3]}}",
        "{\"n\":1,\"members\":{\"targets\":[{\"uid\":\"a\",\"state\":\"ODD\"}]}}", "{\"n\":1} more",
        "{\"n\":1,\"members\":{\"targets\":[{\"uid\":\"a\",\"endpoint\":\"nowhere\",\"state\":\"SERVING\"}]}}"}) void nonsenseIsRefused(
            String text) {
        assertThatThrownBy(() -> EndpointListEvent.parse(text, BOOK)).isInstanceOf(IOException.class);
    }

    private static void until(java.util.function.BooleanSupplier so) throws InterruptedException {
        for (int i = 0; i < 600 && !so.getAsBoolean(); i++) { Thread.sleep(10); }
        assertThat(so.getAsBoolean()).isTrue();
    }

    @Test void eachNumberOnceAndInOrderThroughBreaksRepeatsAndGaps() throws Exception {
        List<Long> got = new CopyOnWriteArrayList<>();
        ControlFeedServer.Behaviour manner = (n, last, out) -> {
            if (n == 0) { // cut in the middle of an event
                ControlFeedServer.say(out, event(last + 1));
                out.write(("data: " + event(last + 2).substring(0, 20)).getBytes(StandardCharsets.UTF_8));
                return false;
            }
            if (n == 1) { // twice, and then one that is missing before it
                ControlFeedServer.say(out, event(last));
                ControlFeedServer.say(out, event(last + 1));
                ControlFeedServer.say(out, event(last + 1));
                ControlFeedServer.say(out, event(last + 3));
                return true;
            }
            if (n == 2) { ControlFeedServer.say(out, "{\"n\":\"nonsense\"}"); }
            for (long e = last + 1; n > 2 && e <= 6; e++) { ControlFeedServer.say(out, event(e)); }
            return n > 2;
        };
        try (ControlFeedServer feed = new ControlFeedServer(manner);
            NetworkTransport net = new NetworkTransport(1, "follow");
            EventStreamClient f = new EventStreamClient(new HttpClientConnection.Factory(net, null, 1 << 16),
                1, BOOK, e -> got.add(e.sequence()), w -> {})) {
            f.follow(feed.at());
            until(() -> got.size() >= 5);
            assertThat(got).containsExactly(2L, 3L, 4L, 5L, 6L);
            assertThat(feed.asked).startsWith(1L, 2L, 3L, 3L);
        }
    }

    @Test void aSilentFeedIsAskedAnewAndAnotherAddressFollowedFromTheLastNumber() throws Exception {
        List<Long> got = new CopyOnWriteArrayList<>();
        ControlFeedServer.Behaviour tells = (n, last, out) -> {
            if (n == 1) { ControlFeedServer.say(out, event(last + 1)); }
            return true; // and then says nothing
        };
        ControlFeedServer.Behaviour later = (n, last, out) -> {
            ControlFeedServer.say(out, event(last + 1));
            return true;
        };
        try (ControlFeedServer first = new ControlFeedServer(tells);
            ControlFeedServer second = new ControlFeedServer(later);
            NetworkTransport net = new NetworkTransport(1, "follow");
            EventStreamClient f = new EventStreamClient(new HttpClientConnection.Factory(net, null, 1 << 16),
                1, BOOK, e -> got.add(e.sequence()), w -> {})) {
            f.follow(first.at());
            until(() -> got.size() == 1); // on the second connection, as the first was silent
            assertThat(first.asked).containsExactly(1L, 1L);
            f.follow(second.at());
            until(() -> got.size() == 2);
            assertThat(second.asked).containsExactly(2L);
        }
    }

    /** Bytes of an event that never ends are no sign of life: what the feed tells elsewhere counts as told. */
    @Test void aFeedWhoseEventNeverEndsIsSilent() throws Exception {
        List<Long> got = new CopyOnWriteArrayList<>();
        ControlFeedServer.Behaviour manner = (n, last, out) -> {
            if (n > 0) {
                ControlFeedServer.say(out, event(last + 1));
                return true;
            }
            Thread trickles = new Thread(() -> {
                try {
                    out.write("data: ".getBytes(StandardCharsets.UTF_8));
                    for (int i = 0; i < 100; i++) {
                        out.write('x');
                        Thread.sleep(50);
                    }
                } catch (IOException | InterruptedException x) {
                    return; // it was left
                }
            });
            trickles.setDaemon(true);
            trickles.start();
            return true;
        };
        try (ControlFeedServer feed = new ControlFeedServer(manner);
            NetworkTransport net = new NetworkTransport(1, "follow");
            EventStreamClient f = new EventStreamClient(new HttpClientConnection.Factory(net, null, 1 << 16),
                1, BOOK, e -> got.add(e.sequence()), w -> {})) {
            f.follow(feed.at());
            long began = System.nanoTime();
            until(() -> got.size() == 1);
            assertThat((System.nanoTime() - began) / 1_000_000).isLessThan(4000); // its events count as told by then
        }
    }

    /** Tells so many further events, once it may. */
    private static ControlFeedServer.Behaviour once(CountDownLatch may, int events) {
        return (n, last, out) -> {
            try {
                may.await();
            } catch (InterruptedException x) {
                return false;
            }
            for (int e = 1; e <= events; e++) { ControlFeedServer.say(out, event(last + e)); }
            return true;
        };
    }

    /** Moved by a new configuration to an address that has yet to speak: the old one's last words are heard. */
    @Test void theOldAddressIsHeardUntilTheNewOneSpeaks() throws Exception {
        List<Long> got = new CopyOnWriteArrayList<>();
        CountDownLatch speak = new CountDownLatch(1);
        ControlFeedServer.Behaviour beats = (n, last, out) -> {
            out.write(": beat\n\n".getBytes(StandardCharsets.UTF_8));
            return true;
        };
        ControlFeedServer.Behaviour later = once(speak, 2); // the first of them the old one told, too
        try (ControlFeedServer old = new ControlFeedServer(beats);
            ControlFeedServer anew = new ControlFeedServer(later);
            NetworkTransport net = new NetworkTransport(1, "follow");
            EventStreamClient f = new EventStreamClient(new HttpClientConnection.Factory(net, null, 1 << 16),
                1, BOOK, e -> got.add(e.sequence()), w -> {})) {
            f.follow(old.at());
            until(() -> old.asked.size() == 1);
            old.say(event(2));
            until(() -> got.size() == 1);
            f.follow(anew.at());
            until(() -> anew.asked.size() == 1);
            old.say(event(3));
            until(() -> got.size() == 2);
            speak.countDown();
            until(() -> got.size() == 3);
            assertThat(got).containsExactly(2L, 3L, 4L);
            assertThat(old.ended(0)).isTrue();
            assertThat(old.asked).hasSize(1);
            assertThat(anew.asked).containsExactly(2L);
        }
    }

    /** The old address breaks off before the new one has spoken: it is not asked again, and the new one only once. */
    @Test void theOldAddressMayEndBeforeTheNewOneSpeaks() throws Exception {
        List<Long> got = new CopyOnWriteArrayList<>();
        CountDownLatch speak = new CountDownLatch(1);
        ControlFeedServer.Behaviour later = once(speak, 1);
        ControlFeedServer old = new ControlFeedServer((n, last, out) -> {
            out.write(": beat\n\n".getBytes(StandardCharsets.UTF_8));
            return true;
        });
        try (ControlFeedServer anew = new ControlFeedServer(later);
            NetworkTransport net = new NetworkTransport(1, "follow");
            EventStreamClient f = new EventStreamClient(new HttpClientConnection.Factory(net, null, 1 << 16),
                1, BOOK, e -> got.add(e.sequence()), w -> {})) {
            f.follow(old.at());
            until(() -> old.asked.size() == 1);
            old.say(event(2));
            until(() -> got.size() == 1);
            f.follow(anew.at());
            until(() -> anew.asked.size() == 1);
            old.close();
            speak.countDown();
            until(() -> got.size() == 2);
            assertThat(anew.asked).containsExactly(2L);
        }
    }

    /** A list that comes whole under the number of the last event says how things stand; an older one does not. */
    @Test void aWholeListUnderTheLastNumberCountsAndAnOlderOneDoesNot() throws Exception {
        List<String> got = new CopyOnWriteArrayList<>();
        ControlFeedServer.Behaviour manner = (n, last, out) -> {
            ControlFeedServer.say(out, ControlFeedServer.event(last - 1, true,
                ControlFeedServer.worker("old", "127.0.0.1:7", "SERVING", 0)));
            ControlFeedServer.say(out, ControlFeedServer.event(last, true,
                ControlFeedServer.worker("same", "127.0.0.1:7", "DRAINING", 0)));
            ControlFeedServer.say(out, ControlFeedServer.event(last, false,
                ControlFeedServer.worker("told", "127.0.0.1:7", "SERVING", 0)));
            ControlFeedServer.say(out, ControlFeedServer.event(last + 3, true,
                ControlFeedServer.worker("ahead", "127.0.0.1:7", "SERVING", 0)));
            ControlFeedServer.say(out, event(last + 4));
            return true;
        };
        try (ControlFeedServer feed = new ControlFeedServer(manner);
            NetworkTransport net = new NetworkTransport(1, "follow");
            EventStreamClient f = new EventStreamClient(new HttpClientConnection.Factory(net, null, 1 << 16),
                5, BOOK, e -> got.add(e.sequence() + e.updates().get(0).name()), w -> {})) {
            f.follow(feed.at());
            until(() -> got.size() == 3);
            assertThat(got).containsExactly("5same", "8ahead", "9w9");
            assertThat(feed.asked).containsExactly(5L); // a gap before a whole list is none
        }
    }
}
