package switchgap.server.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * A graceful shutdown with something under way in each place that a request or a response can be.
 */
class GracefulShutdownTest extends PlatformFixture {
  private Thread stopping() throws Exception {
    Thread thread = stop();
    try (ThriftTestClient client = new ThriftTestClient(platform.port())) {
      for (int number = 1; ; number++) { // it is told by a heartbeat
        client.heartbeat(number);
        if (!client.reply().good()) {
          return thread;
        }
      }
    }
  }

  private static void ended(Thread stopping) throws InterruptedException {
    stopping.join(5000);
    assertThat(stopping.isAlive()).isFalse();
  }

  /** The rest of a request that came in pieces comes later than the last new one may. */
  @Test
  void waitsForTheRestOfAPartialRequest() throws Exception {
    serve(256, new RespTestServer(RespTestServer::serveAll));
    ThriftTestClient client = client();
    read(client, 1);
    String id = id();
    byte[] frame =
        ThriftTestClient.submit(
            2, ThriftTestClient.fields("again", id, 900, FUNCTION), "x".getBytes(UTF_8));
    client.raw(Arrays.copyOf(frame, 30));
    Thread stopping = stopping();
    Thread.sleep(1400); // requests are taken for 1 s, and a message may take 2 s
    client.raw(Arrays.copyOfRange(frame, 30, frame.length));
    assertThat(text(client.reply())).isEqualTo(id + ":x");
    ended(stopping);
  }

  /** Responses that their client reads slowly are written whole before the end. */
  @Test
  void writesResponsesToTheirEnd() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("DO")) {
                RespTestServer.say(out, command.id(), "data", "-", "y".repeat(16000));
                return true;
              }
              return RespTestServer.serveAll(command, out);
            });
    serve(256, worker);
    ThriftTestClient client =
        new ThriftTestClient(
            platform.port(), 4096); // its system takes little of what it does not read
    resources.add(client);
    int calls = 0;
    while (platform.resourceUsage().activeClientConnections() == 0
        || platform.resourceUsage().pendingRequests() > 0) { // until responses wait to be written
      assertThat(++calls).isLessThan(2000);
      int asked = calls;
      client.ask(asked, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
      await(() -> worker.commands("DO").size() == asked);
    }
    Thread stopping = stopping();
    Thread.sleep(1300); // past the time in which requests are taken
    for (int number = 1; number <= calls; number++) {
      ThriftTestClient.Reply reply = client.reply();
      assertThat(reply).as("answer %d", number).isNotNull();
      assertThat(reply.body()).hasSize(16000);
    }
    ended(stopping);
  }

  /**
   * A request that may wait for longer than the platform lets a router live is failed, not dropped.
   */
  @Test
  void failsInTimeWhatCannotBeWaitedFor() throws Exception {
    settings = settings.replace("\"DeadlineUs\":1000000", "\"DeadlineUs\":2900000");
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> command.word().equals("DO") || RespTestServer.serveAll(command, out));
    serve(256, worker);
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("again", id(), 5800, FUNCTION), "x");
    await(() -> worker.commands("DO").size() == 1);
    long startedNanos = System.nanoTime();
    Thread.sleep(100);
    Thread stopping = stopping();
    Thread.sleep(500);
    ThriftTestClient late = client();
    late.ask(
        1,
        ThriftTestClient.fields("again", id(), 5800, FUNCTION),
        "x"); // beyond its end: answered by then
    assertThat(client.reply().field()).isPositive();
    assertThat(late.reply().field()).isPositive();
    ended(stopping);
    assertThat((System.nanoTime() - startedNanos) / 1_000_000)
        .isLessThan(3700 + 100); // SIGKILL may come then
  }

  /** With nothing under way nothing is waited for; a connection that idles does not count. */
  @Test
  void doesNotWaitForIdleConnections() throws Exception {
    serve(256, new RespTestServer(RespTestServer::serveAll));
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("again", id(), 60, FUNCTION), "pushed back as it comes");
    assertThat(client.reply().field()).isEqualTo(1);
    long startedNanos = System.nanoTime();
    ended(stopping());
    assertThat((System.nanoTime() - startedNanos) / 1_000_000).isLessThan(2000);
    assertThat(client.reply()).isNull();
  }

  /** Read by the selector and not yet taken by the loop as the shutdown checks. */
  @Test
  void handlesWhatWaitsForTheLoop() throws Exception {
    CountDownLatch answer = new CountDownLatch(1);
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("DO")) {
                answer.await();
              }
              return RespTestServer.serveAll(command, out);
            });
    serve(256, worker);
    ThriftTestClient one = client();
    ThriftTestClient two = client();
    read(two, 1);
    one.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
    await(() -> worker.commands("DO").size() == 1);
    Thread stopping = stopping();
    try (AutoCloseable gate = holdLoop()) {
      two.ask(2, ThriftTestClient.fields("again", id(), 900, FUNCTION), "y");
      read(two, 3);
    }
    answer.countDown();
    assertThat(List.of(one.reply().field(), two.reply().field())).containsOnly(0);
    ended(stopping);
  }
}
