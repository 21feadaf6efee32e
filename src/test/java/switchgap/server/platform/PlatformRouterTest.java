package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A router on the platform through usual and bad clients, workers and lists. */
class PlatformRouterTest extends PlatformFixture {
    @Test void servesInAnyOrderAndPassesOnWhatIsTheirs() throws Exception {
        RespTestServer w = new RespTestServer((a, out) -> {
            if (!a.word().equals("DO") || !a.words().get(3).equals("slow")) {
                return RespTestServer.well(a, out);
            }
            new Thread(() -> {
                try {
                    Thread.sleep(150);
                    RespTestServer.well(a, out);
                } catch (IOException | InterruptedException x) {
                    return; // the test sees that no answer came
                }
            }).start();
            return true;
        });
        serve(256, w);
        ThriftTestClient c = client();
        c.heartbeat(1);
        assertThat(c.reply().good()).isTrue();
        String first = id();
        String second = id();
        c.ask(2, ThriftTestClient.fields("again", first, 900, F), "warm");
        assertThat(text(c.reply())).isEqualTo(first + ":warm");
        c.ask(3, ThriftTestClient.fields("once", second, 900, F), "slow");
        String third = id();
        c.ask(4, ThriftTestClient.fields("again", third, 900, F), "\r\n$3\r\n");
        assertThat(c.reply()).satisfies(r -> {
            assertThat(r.number()).isEqualTo(4);
            assertThat(text(r)).isEqualTo(third + ":\r\n$3\r\n");
        });
        assertThat(c.reply()).satisfies(r -> assertThat(text(r)).isEqualTo(second + ":slow"));
        assertThat(w.came("DO").get(1).words().get(2)).startsWith("profile=once,thing=" + F + ",max=");
        c.nonsense(5);
        assertThat(c.reply().type()).isEqualTo(3);
    }

    @Test void aMissOrdersACopyAndNeverMoreThanOneAnswerComes() throws Exception {
        java.util.concurrent.atomic.AtomicBoolean stands = new java.util.concurrent.atomic.AtomicBoolean();
        RespTestServer w = new RespTestServer((a, out) -> {
            if (a.word().equals("PIN")) { stands.set(true); }
            if (a.word().equals("DO") && !stands.get()) {
                RespTestServer.say(out, a.id(), "absent", "-", "");
                return true;
            }
            RespTestServer.well(a, out);
            if (a.word().equals("DO")) { // a second copy, and one of nobody's
                RespTestServer.well(a, out);
                RespTestServer.say(out, "ffffffffffffffff", "data", "-", "ahead");
            }
            return true;
        });
        serve(256, w);
        ThriftTestClient c = client();
        for (int n = 1; n <= 4; n++) {
            String id = id();
            c.ask(n, ThriftTestClient.fields("again", id, 900, F), "x" + n);
            assertThat(text(c.reply())).isEqualTo(id + ":x" + n);
        }
        assertThat(w.came("PIN").get(0).words().get(2)).isEqualTo("thing=" + F + ",count=1");
        c.heartbeat(9);
        assertThat(c.reply().number()).isEqualTo(9); // and nothing stands before it
    }

    /**
     * Rule 2: what may have run is not run again, what a broken, spoilt or silent connection leaves open
     * neither.
     */
    @ParameterizedTest
    @ValueSource(strings = {"failed", "close", "noise", "silent",
        "huge"}) void aRunOnceJobThatMayHaveRunIsFailedAndNeverSentAgain(String what) throws Exception {
        RespTestServer.Behaviour bad = (a, out) -> {
            if (!a.word().equals("DO")) { return RespTestServer.well(a, out); }
            switch (what) {
                case "failed" -> RespTestServer.say(out, a.id(), "failed", "-", "");
                case "noise" -> out.write("?!%\r\n".getBytes(StandardCharsets.US_ASCII));
                case "huge" -> out.write("*4\r\n$16\r\n".getBytes(StandardCharsets.US_ASCII));
                default -> {}
            }
            if (what.equals("huge")) {
                out.write((a.id() + "\r\n$4\r\ndata\r\n$1\r\n-\r\n$3000000000\r\n").getBytes(
                    StandardCharsets.US_ASCII));
            }
            return !what.equals("close");
        };
        RespTestServer one = new RespTestServer(bad);
        RespTestServer two = new RespTestServer(bad);
        serve(256, one, two);
        ThriftTestClient c = client();
        c.ask(1, ThriftTestClient.fields("once", id(), 500, F), "x");
        assertThat(c.reply().field()).isEqualTo(2);
        Thread.sleep(100);
        assertThat(one.came("DO").size() + two.came("DO").size()).isEqualTo(1);
    }

    /** An execution of the same job never shares a connection with an earlier one: both bear its id. */
    @Test void aRepeatGoesOutOnAnotherConnection() throws Exception {
        RespTestServer w = new RespTestServer((a, out) -> {
            if (a.word().equals("DO") && a.words().get(3).equals("twice")) {
                RespTestServer.say(out, a.id(), "absent", "-", "");
                return true;
            }
            return RespTestServer.well(a, out);
        });
        serve(256, w);
        ThriftTestClient c = client();
        c.ask(1, ThriftTestClient.fields("again", id(), 900, F), "twice");
        assertThat(c.reply().field()).isEqualTo(1);
        List<RespTestServer.Command> came = w.came("DO");
        assertThat(came).hasSizeGreaterThan(1);
        assertThat(came.stream().map(RespTestServer.Command::connection).distinct().count()).isEqualTo(
            came.size());
    }

    @Test void whatIsNoUsableRequestIsAnErrorAndHarmsNoOpenOne() throws Exception {
        RespTestServer w = new RespTestServer((a, out) -> {
            if (a.word().equals("DO")) { Thread.sleep(200); }
            return RespTestServer.well(a, out);
        });
        serve(256, w);
        ThriftTestClient c = client();
        ThriftTestClient bad = client();
        String id = id();
        c.ask(1, ThriftTestClient.fields("again", id, 900, F), "good");
        until(() -> !w.came("DO").isEmpty());
        bad.ask(1, ThriftTestClient.fields("again", id, 900, F), "another body under an open id");
        assertThat(bad.reply().field()).isEqualTo(2);
        bad.ask(2, ThriftTestClient.fields("nothing", id(), 900, F), "x");
        assertThat(bad.reply().field()).isEqualTo(2);
        bad.ask(3, ThriftTestClient.fields("again", id(), 900, F), "x".repeat(16385));
        assertThat(bad.reply().field()).isEqualTo(2);
        assertThat(text(c.reply())).isEqualTo(id + ":good");
        assertThat(w.came("DO")).hasSize(1);
    }

    @Test void badConnectionsEndAndUsualOnesLive() throws Exception {
        serve(256, new RespTestServer(RespTestServer::well));
        ThriftTestClient usual = client();
        usual.heartbeat(1);
        usual.reply();
        for (int length : new int[] {-1, 0, 60_000_000, 32769}) {
            ThriftTestClient c = client();
            c.raw(ByteBuffer.allocate(8).putInt(length).putInt(7).array());
            assertThat(c.reply()).as("length %d", length).isNull();
        }
        ThriftTestClient twice = client();
        twice.ask(1, ThriftTestClient.fields("again", id(), 900, "00000000000000f2"), "x");
        twice.ask(1, ThriftTestClient.fields("again", id(), 900, "00000000000000f2"), "y");
        ThriftTestClient.Reply r = twice.reply(); // the first one's answer if it came before the second request, then the end
        assertThat(r == null || r.number() == 1).isTrue();
        ThriftTestClient unreadable = client();
        unreadable.raw(ThriftTestClient.framed("no thrift at all".getBytes(StandardCharsets.US_ASCII)));
        assertThat(unreadable.reply()).isNull();
        ThriftTestClient silent = client();
        ThriftTestClient half = client();
        half.raw(new byte[] {0, 0, 1, 0, 5});
        long began = System.nanoTime();
        assertThat(silent.reply()).isNull();
        assertThat(half.reply()).isNull();
        assertThat((System.nanoTime() - began) / 1_000_000).isBetween(1000L, 3000L);
        usual.heartbeat(2);
        assertThat(usual.reply().good()).isTrue();
    }

    /** Seen on a day of churn: with its places taken the door closed whoever had just come. */
    @Test void theLongestSilentConnectionMakesRoomNotTheNewest() throws Exception {
        serve(30, new RespTestServer(RespTestServer::well)); // ten places
        List<ThriftTestClient> all = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            ThriftTestClient c = client();
            all.add(c);
            c.ask(1, ThriftTestClient.fields("again", id(), 900, F), "x");
            assertThat(c.reply()).as("client %d", i).isNotNull();
        }
        assertThat(all.get(0).reply()).isNull();
        ThriftTestClient last = all.get(24);
        last.heartbeat(2);
        assertThat(last.reply().good()).isTrue();
    }

    @Test void revokedAndLeftCallsAreUndoneAndOwedNothing() throws Exception {
        RespTestServer w = new RespTestServer(
            (a, out) -> a.word().equals("DO") || RespTestServer.well(a, out));
        serve(256, w);
        ThriftTestClient c = client();
        ThriftTestClient left = client();
        String revoked = id();
        c.ask(1, ThriftTestClient.fields("again", revoked, 900, F), "x");
        until(() -> w.came("DO").size() == 1);
        c.revoke(2, 1);
        until(() -> w.came("UNDO").stream().anyMatch(a -> a.id().equals(revoked)));
        String gone = id();
        left.ask(1, ThriftTestClient.fields("again", gone, 900, "00000000000000f3"), "x");
        until(() -> w.came("DO").size() == 2);
        left.close();
        until(() -> w.came("UNDO").stream().anyMatch(a -> a.id().equals(gone)));
        c.heartbeat(3);
        assertThat(c.reply().number()).isEqualTo(3);
    }

    /**
     * Rule 3, and a new worker at the address of one that has gone: nothing goes to it on the old
     * connections.
     */
    @Test void nothingNewToADrainingWorkerAndANewIdIsANewWorker() throws Exception {
        RespTestServer one = new RespTestServer(RespTestServer::well);
        RespTestServer two = new RespTestServer(RespTestServer::well);
        serve(256, one, two);
        until(() -> !feed.asked.isEmpty());
        ThriftTestClient c = client();
        for (int n = 1; n <= 20; n++) {
            c.ask(n, ThriftTestClient.fields("again", id(), 900, String.format("%016x", n)), "x");
            assertThat(c.reply().field()).isZero();
        }
        RespTestServer drained = one.came("DO").isEmpty() ? two : one;
        feed.say(ControlFeedServer.event(2, false,
            ControlFeedServer.worker(drained == one ? "w0" : "w1", drained.at(), "DRAINING", 0)));
        Thread.sleep(200);
        long before = drained.asked.stream().filter(a -> !a.word().equals("METER")).count();
        int old = drained.asked.stream().mapToInt(RespTestServer.Command::connection).max().orElseThrow();
        for (int n = 21; n <= 40; n++) {
            c.ask(n, ThriftTestClient.fields("again", id(), 900, String.format("%016x", n - 20)), "x");
            assertThat(c.reply().field()).isZero();
        }
        assertThat(drained.asked.stream().filter(a -> !a.word().equals("METER")).count()).isEqualTo(before);
        feed.say(ControlFeedServer.event(3, false,
            ControlFeedServer.worker(drained == one ? "w0" : "w1", drained.at(), "DELETED", 0),
            ControlFeedServer.worker("w9", drained.at(), "SERVING", 0)));
        Thread.sleep(200);
        for (int n = 41; n <= 80; n++) {
            c.ask(n, ThriftTestClient.fields("again", id(), 900, String.format("%016x", n)), "x");
            assertThat(c.reply().field()).isZero();
        }
        assertThat(drained.asked.subList((int) before, drained.asked.size())).isNotEmpty().allMatch(
            a -> a.connection() > old);
    }

    @Test void stopsWithEverythingAnswered() throws Exception {
        RespTestServer w = new RespTestServer((a, out) -> {
            if (a.word().equals("DO")) { Thread.sleep(300); }
            return RespTestServer.well(a, out);
        });
        PlatformRouter p = serve(256, w);
        ThriftTestClient c = client();
        c.ask(1, ThriftTestClient.fields("again", id(), 900, F), "before");
        Thread stop = stop();
        Thread.sleep(500);
        ThriftTestClient late = client();
        late.heartbeat(1);
        assertThat(late.reply().good()).isFalse();
        late.ask(2, ThriftTestClient.fields("again", id(), 900, F), "after");
        assertThat(c.reply().field()).isZero();
        assertThat(late.reply().field()).isZero();
        stop.join(5000);
        assertThat(stop.isAlive()).isFalse();
        assertThatThrownBy(() -> new ThriftTestClient(p.port())).isInstanceOf(IOException.class);
    }

    /** A day's worth of new clients, ids, functions and workers leaves nothing behind. */
    @Test void whatIsHeldLevelsOff() throws Exception {
        RespTestServer w = new RespTestServer(RespTestServer::well);
        serve(256, w);
        until(() -> !feed.asked.isEmpty());
        for (int n = 1; n <= 400; n++) {
            try (ThriftTestClient c = new ThriftTestClient(platform.port())) {
                c.ask(1, ThriftTestClient.fields("again", id(), 900, String.format("%016x", n)), "x");
                assertThat(c.reply().field()).isZero();
            }
            if (n % 10 == 0) {
                feed.say(ControlFeedServer.event(1 + n / 10, false,
                    ControlFeedServer.worker("w" + (n == 10 ? "0" : "n" + (n - 10)), w.at(), "DELETED", 0),
                    ControlFeedServer.worker("wn" + n, w.at(), "SERVING", 0)));
            }
        }
        Thread.sleep(500);
        ResourceUsage usage = platform.resourceUsage();
        assertThat(usage.pendingRequests()).as("pending requests").isZero();
        assertThat(usage.clientConnections()).as("connections of clients").isLessThanOrEqualTo(1);
        assertThat(usage.workerConnections()).as("connections to workers").isLessThanOrEqualTo(6);
    }

    @ParameterizedTest
    @ValueSource(strings = {"settings", "known", "feed", "seed", "limits", "Lanes",
        "Zones"}) void aMissingKeyIsNamed(String key) throws Exception {
        Map<String, String> e = environment(config(256).replace("\"" + key + "\":", "\"not" + key + "\":"));
        assertThatThrownBy(() -> {
            PlatformConfig g = PlatformConfig.read(e, 0);
            new PlatformRouter(g, new RateLimitedLog()).close();
        }).hasMessageContaining(key);
    }

    @Test void aMissingVariableOrFileIsNamed() throws Exception {
        assertThatThrownBy(() -> PlatformConfig.read(Map.of(), 0)).hasMessageContaining("NODE_CONFIG");
        assertThatThrownBy(
            () -> PlatformConfig.read(Map.of("NODE_CONFIG", dir + "/none"), 0)).hasMessageContaining(
                "none: no such file");
        assertThatThrownBy(() -> PlatformConfig.read(environment("{"), 0)).hasMessageContaining(
            "config.json");
    }

    /** Another customer's settings: each serves a job from end to end. */
    @ParameterizedTest
    @ValueSource(strings = {"no tenants", "tenants left out", "no zones", "one class", "no costs",
        "no reports", "no advice",
        "limits of minutes", "limits of a tenth of a second", "nothing cold", "no orders",
        "a hundred routers"}) void otherCustomersSettingsServe(String what) throws Exception {
        String workload = "again";
        long allow = 450;
        switch (what) {
            case "no tenants" -> settings = settings.replaceAll("\"Tenants\":\\[[^]]*]", "\"Tenants\":[]");
            case "tenants left out" -> settings = settings.replaceAll("\"Tenants\":\\[[^]]*],", "");
            case "no zones" -> settings = settings.replace("[\"east\",\"west\"]", "[]");
            case "one class" -> {
                settings = settings.replaceAll("(?s)\\{\"Name\":\"again\"[^}]*},", "");
                workload = "once";
            }
            case "no costs" ->
                settings = settings.replaceAll("\"Costs\":\\{[^}]*},", "").replaceAll("\"MemoryPrice\":0,",
                    "");
            case "no reports" ->
                settings = settings.replaceAll("(?s),\\s*\"Telemetry\":\\{[^}]*}", "").replace(
                    ",\"SaysCompany\":true", "");
            case "no advice" -> settings = settings.replace("\"RetryAfter\":true,\"MaxRetryAfterUs\":900000,",
                "\"RetryAfter\":false,");
            case "limits of minutes" -> {
                allow = 300_000;
                settings = settings.replace("\"AimUs\":300000,\"DeadlineUs\":1000000",
                    "\"AimUs\":60000000,\"DeadlineUs\":600000000");
            }
            case "limits of a tenth of a second" ->
                settings = settings.replace("\"AimUs\":300000,\"DeadlineUs\":1000000",
                    "\"AimUs\":40000,\"DeadlineUs\":450000");
            case "nothing cold" ->
                settings = settings.replace("\"ColdUs\":2000000,\"FallMultiple\":3,\"OverloadForUs\":1000000",
                    "\"ColdUs\":0,\"FallMultiple\":0,\"OverloadForUs\":0");
            case "no orders" -> settings = settings.replace("\"IfCold\":\"miss\",\"PlacementCalls\":true",
                "\"IfCold\":\"load\",\"PlacementCalls\":false");
            default -> settings = settings.replace("\"Balancers\":1,\"Me\":0", "\"Balancers\":100,\"Me\":99");
        }
        assertThat(settings).isNotEqualTo(TestPlatformSettings.SETTINGS);
        serve(256, new RespTestServer(RespTestServer::well));
        ThriftTestClient c = client();
        for (int n = 1; n <= 3; n++) {
            c.ask(n, ThriftTestClient.fields(workload, id(), allow, F), "x");
            assertThat(c.reply().field()).isZero();
        }
    }
}
