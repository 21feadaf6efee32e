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
  @Test
  void servesInAnyOrderAndPassesOnWhatIsTheirs() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (!command.word().equals("DO") || !command.words().get(3).equals("slow")) {
                return RespTestServer.serveAll(command, out);
              }
              new Thread(
                      () -> {
                        try {
                          Thread.sleep(150);
                          RespTestServer.serveAll(command, out);
                        } catch (IOException | InterruptedException e) {
                          return; // the test sees that no answer came
                        }
                      })
                  .start();
              return true;
            });
    serve(256, worker);
    ThriftTestClient client = client();
    client.heartbeat(1);
    assertThat(client.reply().good()).isTrue();
    String first = id();
    String second = id();
    client.ask(2, ThriftTestClient.fields("again", first, 900, FUNCTION), "warm");
    assertThat(text(client.reply())).isEqualTo(first + ":warm");
    client.ask(3, ThriftTestClient.fields("once", second, 900, FUNCTION), "slow");
    String third = id();
    client.ask(4, ThriftTestClient.fields("again", third, 900, FUNCTION), "\r\n$3\r\n");
    assertThat(client.reply())
        .satisfies(
            reply -> {
              assertThat(reply.number()).isEqualTo(4);
              assertThat(text(reply)).isEqualTo(third + ":\r\n$3\r\n");
            });
    assertThat(client.reply())
        .satisfies(reply -> assertThat(text(reply)).isEqualTo(second + ":slow"));
    assertThat(worker.commands("DO").get(1).words().get(2))
        .startsWith("profile=once,thing=" + FUNCTION + ",max=");
    client.nonsense(5);
    assertThat(client.reply().type()).isEqualTo(3);
  }

  @Test
  void aMissOrdersACopyAndNeverMoreThanOneAnswerComes() throws Exception {
    java.util.concurrent.atomic.AtomicBoolean stands =
        new java.util.concurrent.atomic.AtomicBoolean();
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("PIN")) {
                stands.set(true);
              }
              if (command.word().equals("DO") && !stands.get()) {
                RespTestServer.say(out, command.id(), "absent", "-", "");
                return true;
              }
              RespTestServer.serveAll(command, out);
              if (command.word().equals("DO")) { // a second copy, and one of nobody's
                RespTestServer.serveAll(command, out);
                RespTestServer.say(out, "ffffffffffffffff", "data", "-", "ahead");
              }
              return true;
            });
    serve(256, worker);
    ThriftTestClient client = client();
    for (int number = 1; number <= 4; number++) {
      String id = id();
      client.ask(number, ThriftTestClient.fields("again", id, 900, FUNCTION), "x" + number);
      assertThat(text(client.reply())).isEqualTo(id + ":x" + number);
    }
    assertThat(worker.commands("PIN").get(0).words().get(2))
        .isEqualTo("thing=" + FUNCTION + ",count=1");
    client.heartbeat(9);
    assertThat(client.reply().number()).isEqualTo(9); // and nothing stands before it
  }

  /**
   * Rule 2: what may have run is not run again, what a broken, spoilt or silent connection leaves
   * open neither.
   */
  @ParameterizedTest
  @ValueSource(strings = {"failed", "close", "noise", "silent", "huge"})
  void aRunOnceJobThatMayHaveRunIsFailedAndNeverSentAgain(String what) throws Exception {
    RespTestServer.Behaviour bad =
        (command, out) -> {
          if (!command.word().equals("DO")) {
            return RespTestServer.serveAll(command, out);
          }
          switch (what) {
            case "failed" -> RespTestServer.say(out, command.id(), "failed", "-", "");
            case "noise" -> out.write("?!%\r\n".getBytes(StandardCharsets.US_ASCII));
            case "huge" -> out.write("*4\r\n$16\r\n".getBytes(StandardCharsets.US_ASCII));
            default -> {}
          }
          if (what.equals("huge")) {
            out.write(
                (command.id() + "\r\n$4\r\ndata\r\n$1\r\n-\r\n$3000000000\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
          }
          return !what.equals("close");
        };
    RespTestServer one = new RespTestServer(bad);
    RespTestServer two = new RespTestServer(bad);
    serve(256, one, two);
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("once", id(), 500, FUNCTION), "x");
    assertThat(client.reply().field()).isEqualTo(2);
    Thread.sleep(100);
    assertThat(one.commands("DO").size() + two.commands("DO").size()).isEqualTo(1);
  }

  /**
   * An execution of the same job never shares a connection with an earlier one: both bear its id.
   */
  @Test
  void aRepeatGoesOutOnAnotherConnection() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("DO") && command.words().get(3).equals("twice")) {
                RespTestServer.say(out, command.id(), "absent", "-", "");
                return true;
              }
              return RespTestServer.serveAll(command, out);
            });
    serve(256, worker);
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "twice");
    assertThat(client.reply().field()).isEqualTo(1);
    List<RespTestServer.Command> came = worker.commands("DO");
    assertThat(came).hasSizeGreaterThan(1);
    assertThat(came.stream().map(RespTestServer.Command::connection).distinct().count())
        .isEqualTo(came.size());
  }

  @Test
  void whatIsNoUsableRequestIsAnErrorAndHarmsNoOpenOne() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("DO")) {
                Thread.sleep(200);
              }
              return RespTestServer.serveAll(command, out);
            });
    serve(256, worker);
    ThriftTestClient client = client();
    ThriftTestClient bad = client();
    String id = id();
    client.ask(1, ThriftTestClient.fields("again", id, 900, FUNCTION), "good");
    await(() -> !worker.commands("DO").isEmpty());
    bad.ask(
        1, ThriftTestClient.fields("again", id, 900, FUNCTION), "another body under an open id");
    assertThat(bad.reply().field()).isEqualTo(2);
    bad.ask(2, ThriftTestClient.fields("nothing", id(), 900, FUNCTION), "x");
    assertThat(bad.reply().field()).isEqualTo(2);
    bad.ask(3, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x".repeat(16385));
    assertThat(bad.reply().field()).isEqualTo(2);
    assertThat(text(client.reply())).isEqualTo(id + ":good");
    assertThat(worker.commands("DO")).hasSize(1);
  }

  @Test
  void badConnectionsEndAndUsualOnesLive() throws Exception {
    serve(256, new RespTestServer(RespTestServer::serveAll));
    ThriftTestClient usual = client();
    usual.heartbeat(1);
    usual.reply();
    for (int length : new int[] {-1, 0, 60_000_000, 32769}) {
      ThriftTestClient client = client();
      client.raw(ByteBuffer.allocate(8).putInt(length).putInt(7).array());
      assertThat(client.reply()).as("length %d", length).isNull();
    }
    ThriftTestClient twice = client();
    twice.ask(1, ThriftTestClient.fields("again", id(), 900, "00000000000000f2"), "x");
    twice.ask(1, ThriftTestClient.fields("again", id(), 900, "00000000000000f2"), "y");
    ThriftTestClient.Reply reply =
        twice.reply(); // the first one's answer if it came before the second request, then the end
    assertThat(reply == null || reply.number() == 1).isTrue();
    ThriftTestClient unreadable = client();
    unreadable.raw(ThriftTestClient.framed("no thrift at all".getBytes(StandardCharsets.US_ASCII)));
    assertThat(unreadable.reply()).isNull();
    ThriftTestClient silent = client();
    ThriftTestClient half = client();
    half.raw(new byte[] {0, 0, 1, 0, 5});
    long startedNanos = System.nanoTime();
    assertThat(silent.reply()).isNull();
    assertThat(half.reply()).isNull();
    assertThat((System.nanoTime() - startedNanos) / 1_000_000).isBetween(1000L, 3000L);
    usual.heartbeat(2);
    assertThat(usual.reply().good()).isTrue();
  }

  /** Seen on a day of churn: with its places taken the door closed whoever had just come. */
  @Test
  void theLongestSilentConnectionMakesRoomNotTheNewest() throws Exception {
    serve(30, new RespTestServer(RespTestServer::serveAll)); // ten places
    List<ThriftTestClient> all = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      ThriftTestClient client = client();
      all.add(client);
      client.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
      assertThat(client.reply()).as("client %d", i).isNotNull();
    }
    assertThat(all.get(0).reply()).isNull();
    ThriftTestClient last = all.get(24);
    last.heartbeat(2);
    assertThat(last.reply().good()).isTrue();
  }

  @Test
  void revokedAndLeftCallsAreUndoneAndOwedNothing() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> command.word().equals("DO") || RespTestServer.serveAll(command, out));
    serve(256, worker);
    ThriftTestClient client = client();
    ThriftTestClient left = client();
    String revoked = id();
    client.ask(1, ThriftTestClient.fields("again", revoked, 900, FUNCTION), "x");
    await(() -> worker.commands("DO").size() == 1);
    client.revoke(2, 1);
    await(() -> worker.commands("UNDO").stream().anyMatch(command -> command.id().equals(revoked)));
    String gone = id();
    left.ask(1, ThriftTestClient.fields("again", gone, 900, "00000000000000f3"), "x");
    await(() -> worker.commands("DO").size() == 2);
    left.close();
    await(() -> worker.commands("UNDO").stream().anyMatch(command -> command.id().equals(gone)));
    client.heartbeat(3);
    assertThat(client.reply().number()).isEqualTo(3);
  }

  /**
   * Rule 3, and a new worker at the address of one that has gone: nothing goes to it on the old
   * connections.
   */
  @Test
  void nothingNewToADrainingWorkerAndANewIdIsANewWorker() throws Exception {
    RespTestServer one = new RespTestServer(RespTestServer::serveAll);
    RespTestServer two = new RespTestServer(RespTestServer::serveAll);
    serve(256, one, two);
    await(() -> !feed.requestedEventIds.isEmpty());
    ThriftTestClient client = client();
    for (int number = 1; number <= 20; number++) {
      client.ask(
          number, ThriftTestClient.fields("again", id(), 900, String.format("%016x", number)), "x");
      assertThat(client.reply().field()).isZero();
    }
    RespTestServer drained = one.commands("DO").isEmpty() ? two : one;
    feed.sendEvent(
        EventStreamTestServer.endpointListEvent(
            2,
            false,
            EventStreamTestServer.endpoint(
                drained == one ? "w0" : "w1", drained.at(), "DRAINING", 0)));
    Thread.sleep(200);
    long before =
        drained.received.stream().filter(command -> !command.word().equals("METER")).count();
    int old =
        drained.received.stream().mapToInt(RespTestServer.Command::connection).max().orElseThrow();
    for (int number = 21; number <= 40; number++) {
      client.ask(
          number,
          ThriftTestClient.fields("again", id(), 900, String.format("%016x", number - 20)),
          "x");
      assertThat(client.reply().field()).isZero();
    }
    assertThat(drained.received.stream().filter(command -> !command.word().equals("METER")).count())
        .isEqualTo(before);
    feed.sendEvent(
        EventStreamTestServer.endpointListEvent(
            3,
            false,
            EventStreamTestServer.endpoint(
                drained == one ? "w0" : "w1", drained.at(), "DELETED", 0),
            EventStreamTestServer.endpoint("w9", drained.at(), "SERVING", 0)));
    Thread.sleep(200);
    for (int number = 41; number <= 80; number++) {
      client.ask(
          number, ThriftTestClient.fields("again", id(), 900, String.format("%016x", number)), "x");
      assertThat(client.reply().field()).isZero();
    }
    assertThat(drained.received.subList((int) before, drained.received.size()))
        .isNotEmpty()
        .allMatch(command -> command.connection() > old);
  }

  @Test
  void stopsWithEverythingAnswered() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("DO")) {
                Thread.sleep(300);
              }
              return RespTestServer.serveAll(command, out);
            });
    PlatformRouter router = serve(256, worker);
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "before");
    Thread stop = stop();
    Thread.sleep(500);
    ThriftTestClient late = client();
    late.heartbeat(1);
    assertThat(late.reply().good()).isFalse();
    late.ask(2, ThriftTestClient.fields("again", id(), 900, FUNCTION), "after");
    assertThat(client.reply().field()).isZero();
    assertThat(late.reply().field()).isZero();
    stop.join(5000);
    assertThat(stop.isAlive()).isFalse();
    assertThatThrownBy(() -> new ThriftTestClient(router.port())).isInstanceOf(IOException.class);
  }

  /** A day's worth of new clients, ids, functions and workers leaves nothing behind. */
  @Test
  void resourceUsageLevelsOff() throws Exception {
    RespTestServer worker = new RespTestServer(RespTestServer::serveAll);
    serve(256, worker);
    await(() -> !feed.requestedEventIds.isEmpty());
    for (int number = 1; number <= 400; number++) {
      try (ThriftTestClient client = new ThriftTestClient(platform.port())) {
        client.ask(
            1, ThriftTestClient.fields("again", id(), 900, String.format("%016x", number)), "x");
        assertThat(client.reply().field()).isZero();
      }
      if (number % 10 == 0) {
        feed.sendEvent(
            EventStreamTestServer.endpointListEvent(
                1 + number / 10,
                false,
                EventStreamTestServer.endpoint(
                    "w" + (number == 10 ? "0" : "n" + (number - 10)), worker.at(), "DELETED", 0),
                EventStreamTestServer.endpoint("wn" + number, worker.at(), "SERVING", 0)));
      }
    }
    Thread.sleep(500);
    ResourceUsage usage = platform.resourceUsage();
    assertThat(usage.pendingRequests()).as("pending requests").isZero();
    assertThat(usage.clientConnections()).as("connections of clients").isLessThanOrEqualTo(1);
    assertThat(usage.workerConnections()).as("connections to workers").isLessThanOrEqualTo(6);
  }

  @ParameterizedTest
  @ValueSource(strings = {"settings", "known", "feed", "seed", "limits", "Lanes", "Zones"})
  void aMissingKeyIsNamed(String key) throws Exception {
    Map<String, String> environment =
        environment(config(256).replace("\"" + key + "\":", "\"not" + key + "\":"));
    assertThatThrownBy(
            () -> {
              PlatformConfig config = PlatformConfig.read(environment, 0);
              new PlatformRouter(config, new RateLimitedLog()).close();
            })
        .hasMessageContaining(key);
  }

  @Test
  void aMissingVariableOrFileIsNamed() throws Exception {
    assertThatThrownBy(() -> PlatformConfig.read(Map.of(), 0)).hasMessageContaining("NODE_CONFIG");
    assertThatThrownBy(() -> PlatformConfig.read(Map.of("NODE_CONFIG", dir + "/none"), 0))
        .hasMessageContaining("none: no such file");
    assertThatThrownBy(() -> PlatformConfig.read(environment("{"), 0))
        .hasMessageContaining("config.json");
  }

  /** Another customer's settings: each serves a job from end to end. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "no tenants",
        "tenants left out",
        "no zones",
        "one class",
        "no costs",
        "no reports",
        "no advice",
        "limits of minutes",
        "limits of a tenth of a second",
        "nothing cold",
        "no orders",
        "a hundred routers"
      })
  void otherCustomersSettingsServe(String what) throws Exception {
    String workload = "again";
    long allow = 450;
    switch (what) {
      case "no tenants" ->
          settings = settings.replaceAll("\"Tenants\":\\[[^]]*]", "\"Tenants\":[]");
      case "tenants left out" -> settings = settings.replaceAll("\"Tenants\":\\[[^]]*],", "");
      case "no zones" -> settings = settings.replace("[\"east\",\"west\"]", "[]");
      case "one class" -> {
        settings = settings.replaceAll("(?s)\\{\"Name\":\"again\"[^}]*},", "");
        workload = "once";
      }
      case "no costs" ->
          settings =
              settings.replaceAll("\"Costs\":\\{[^}]*},", "").replaceAll("\"MemoryPrice\":0,", "");
      case "no reports" ->
          settings =
              settings
                  .replaceAll("(?s),\\s*\"Telemetry\":\\{[^}]*}", "")
                  .replace(",\"SaysCompany\":true", "");
      case "no advice" ->
          settings =
              settings.replace(
                  "\"RetryAfter\":true,\"MaxRetryAfterUs\":900000,", "\"RetryAfter\":false,");
      case "limits of minutes" -> {
        allow = 300_000;
        settings =
            settings.replace(
                "\"AimUs\":300000,\"DeadlineUs\":1000000",
                "\"AimUs\":60000000,\"DeadlineUs\":600000000");
      }
      case "limits of a tenth of a second" ->
          settings =
              settings.replace(
                  "\"AimUs\":300000,\"DeadlineUs\":1000000",
                  "\"AimUs\":40000,\"DeadlineUs\":450000");
      case "nothing cold" ->
          settings =
              settings.replace(
                  "\"ColdUs\":2000000,\"FallMultiple\":3,\"OverloadForUs\":1000000",
                  "\"ColdUs\":0,\"FallMultiple\":0,\"OverloadForUs\":0");
      case "no orders" ->
          settings =
              settings.replace(
                  "\"IfCold\":\"miss\",\"PlacementCalls\":true",
                  "\"IfCold\":\"load\",\"PlacementCalls\":false");
      default ->
          settings = settings.replace("\"Balancers\":1,\"Me\":0", "\"Balancers\":100,\"Me\":99");
    }
    assertThat(settings).isNotEqualTo(TestPlatformSettings.SETTINGS);
    serve(256, new RespTestServer(RespTestServer::serveAll));
    ThriftTestClient client = client();
    for (int number = 1; number <= 3; number++) {
      client.ask(number, ThriftTestClient.fields(workload, id(), allow, FUNCTION), "x");
      assertThat(client.reply().field()).isZero();
    }
  }
}
