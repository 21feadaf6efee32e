package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.junit.jupiter.api.Test;

/**
 * The router as a process, with signals as signals. Its configuration is a pipe where its start has
 * to be held.
 */
class PlatformProcessTest extends PlatformProcessFixture {
  private void pipe() throws Exception {
    file = dir.resolve("config.json");
    shell("mkfifo " + file);
  }

  /**
   * The new configuration and its SIGHUP come while the old one is being read; the signal counted
   * for nothing.
   */
  @Test
  void aSighupDuringTheStartCounts() throws Exception {
    pipe();
    try (RespTestServer worker = new RespTestServer(RespTestServer::serveAll);
        EventStreamTestServer newFeed = new EventStreamTestServer((number, last, out) -> true)) {
      String config = config(256, worker);
      start("");
      try (OutputStream held =
          Files.newOutputStream(file)) { // opened: the router reads, and its handlers stand
        Path next =
            Files.writeString(
                dir.resolve("next.json"),
                config.replace(":" + feed.address().getPort(), ":" + newFeed.address().getPort()));
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING);
        signal("HUP");
        signal("HUP");
        await(() -> log().contains("SIGHUP") || process.isAlive());
        held.write(config.getBytes(StandardCharsets.UTF_8));
      }
      serves();
      await(() -> !newFeed.requestedEventIds.isEmpty());
      Files.writeString(file, "{"); // and one that is of no use keeps what there is
      signal("HUP");
      await(() -> log().contains("the old feed is kept"));
      signal("TERM");
      endsWell();
    }
  }

  @Test
  void aSigtermDuringTheStartEndsItWell() throws Exception {
    pipe();
    try (RespTestServer worker = new RespTestServer(RespTestServer::serveAll)) {
      String config = config(256, worker);
      start("");
      try (OutputStream held = Files.newOutputStream(file)) {
        signal("TERM");
        held.write(config.getBytes(StandardCharsets.UTF_8));
      }
      endsWell();
    }
  }

  @Test
  void aSecondSigtermAndASighupDuringTheStopHarmNobody() throws Exception {
    file = dir.resolve("config.json");
    java.util.concurrent.CountDownLatch answer = new java.util.concurrent.CountDownLatch(1);
    try (RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("DO")) {
                answer.await();
              }
              return RespTestServer.serveAll(command, out);
            })) {
      Files.writeString(file, config(256, worker));
      start("");
      ThriftTestClient client = new ThriftTestClient(serves());
      resources.add(client);
      client.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
      await(() -> worker.commands("DO").size() == 1);
      signal("TERM");
      int number = 1;
      do {
        client.heartbeat(++number);
      } while (client.reply().good());
      signal("HUP");
      signal("TERM");
      await(() -> log().contains("SIGHUP"));
      answer.countDown();
      assertThat(client.reply().field()).isZero();
      endsWell();
    }
  }

  /**
   * With its descriptors taken by idle clients as far as it lets them, the feed comes back and jobs
   * are served.
   */
  @Test
  void idleClientsLeaveRoomForTheFeedAndTheWorkers() throws Exception {
    file = dir.resolve("config.json");
    try (RespTestServer worker = new RespTestServer(RespTestServer::serveAll)) {
      int port = feed.address().getPort();
      Files.writeString(file, config(120, worker));
      feed.close(); // discovery is down
      start("ulimit -n 120; ");
      int servedPort = serves();
      for (int i = 0; i < 300; i++) {
        resources.add(new ThriftTestClient(servedPort));
      }
      java.time.Duration before = process.info().totalCpuDuration().orElseThrow();
      ThriftTestClient usual = answered(servedPort);
      for (int number = 2; number <= 6; number++) {
        usual.ask(number, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
        assertThat(usual.reply().field()).as(log()).isZero();
      }
      try (EventStreamTestServer back =
          new EventStreamTestServer(port, (number, last, out) -> true)) {
        await(() -> !back.requestedEventIds.isEmpty());
      }
      assertThat(process.info().totalCpuDuration().orElseThrow().minus(before).toMillis())
          .isLessThan(1500); // nothing spins
      signal("TERM");
      endsWell();
    }
  }

  /** A file that is written in place is read again: the signal came in the middle of it. */
  @Test
  void aConfigurationThatIsHalfWrittenAtSighupIsReadAgain() throws Exception {
    file = dir.resolve("config.json");
    try (RespTestServer worker = new RespTestServer(RespTestServer::serveAll);
        EventStreamTestServer newFeed = new EventStreamTestServer((number, last, out) -> true)) {
      String config = config(256, worker);
      String next =
          config.replace(":" + feed.address().getPort(), ":" + newFeed.address().getPort());
      Files.writeString(file, config);
      start("");
      serves();
      Files.writeString(file, next.substring(0, next.length() / 2));
      signal("HUP");
      await(() -> log().contains("the old feed is kept"));
      Files.writeString(file, next);
      await(() -> !newFeed.requestedEventIds.isEmpty());
    }
  }

  @Test
  void aFeedThatHasNoAddressReplacesNoGoodOne() throws Exception {
    file = dir.resolve("config.json");
    try (RespTestServer worker = new RespTestServer(RespTestServer::serveAll)) {
      String config = config(256, worker);
      Files.writeString(file, config);
      start("");
      serves();
      Files.writeString(
          file, config.replace("\"feed\":\"127.0.0.1:", "\"feed\":\"no-such-host.invalid:"));
      signal("HUP");
      await(() -> log().contains("SIGHUP"));
      assertThat(log())
          .contains("the old feed is kept")
          .doesNotContain("is followed at no-such-host");
    }
  }

  @Test
  void oneSearchFindsARequestsWholeWay() throws Exception {
    file = dir.resolve("config.json");
    variables.put("SWITCHGAP_TRACE", "1");
    try (RespTestServer worker = new RespTestServer(RespTestServer::serveAll)) {
      Files.writeString(file, config(256, worker));
      start("");
      try (ThriftTestClient client = new ThriftTestClient(serves())) {
        client.ask(1, ThriftTestClient.fields("again", "00000000000000ab", 900, FUNCTION), "x");
        assertThat(client.reply().field()).isZero();
      }
      signal("TERM");
      endsWell();
      assertThat(
              log()
                  .lines()
                  .filter(line -> line.contains("00000000000000ab"))
                  .map(line -> line.split(" ")[1]))
          .containsExactly("REQUEST_RECEIVED", "ATTEMPT_SENT", "ATTEMPT_ENDED", "REQUEST_ANSWERED");
      assertThat(log())
          .containsPattern("CLIENT_CLOSED PEER_CLOSED c\\d+")
          .contains("count REQUEST_ANSWERED SUCCEEDED 1");
    }
  }
}
