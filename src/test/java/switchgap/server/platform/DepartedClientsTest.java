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
 * Clients that close, withdraw or come again between two steps of the router; the race is forced by
 * blocking its loop.
 */
class DepartedClientsTest extends PlatformFixture {
  private ThriftTestClient served(ThriftTestClient client, RespTestServer worker, int number)
      throws Exception {
    String id = id();
    client.ask(number, ThriftTestClient.fields("again", id, 900, FUNCTION), "served");
    assertThat(text(client.reply())).isEqualTo(id + ":served");
    assertThat(worker.commands("DO").stream().filter(command -> command.id().equals(id)))
        .hasSize(1);
    return client;
  }

  /**
   * Seen on roll+mass: a request rejected as it came was counted as pending until its connection
   * ended, also at a shutdown.
   */
  @Test
  void aRequestAnsweredAsItComesIsNotPending() throws Exception {
    serve(256, new RespTestServer(RespTestServer::serveAll));
    ThriftTestClient client = client();
    String id = id();
    client.ask(1, ThriftTestClient.fields("again", id, 60, FUNCTION), "hopeless");
    assertThat(client.reply().field()).isEqualTo(1);
    assertThat(platform.resourceUsage().pendingRequests()).isZero();
    client.ask(2, ThriftTestClient.fields("again", id, 900, FUNCTION), "again");
    assertThat(text(client.reply())).isEqualTo(id + ":again");
  }

  /**
   * Seen on roll+mass and join+mass: the tick that should have given up came 3 ms past the
   * deadline, and no response was sent.
   */
  @Test
  void aRequestWhoseDeadlinePassedWhileTheLoopWasBlockedGetsItsResponse() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> command.word().equals("DO") || RespTestServer.serveAll(command, out));
    serve(256, worker);
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("again", id(), 300, FUNCTION), "x");
    client.ask(2, ThriftTestClient.fields("once", id(), 300, "00000000000000f2"), "x");
    await(() -> worker.commands("DO").size() == 2);
    ThriftTestClient late = client();
    try (AutoCloseable gate = holdLoop()) {
      late.ask(1, ThriftTestClient.fields("again", id(), 150, FUNCTION), "read and not yet taken");
      Thread.sleep(400); // past each limit
    }
    assertThat(List.of(client.reply().number(), client.reply().number()))
        .containsExactlyInAnyOrder(1, 2);
    assertThat(late.reply().field()).isEqualTo(1);
    assertThat(platform.resourceUsage().pendingRequests()).isZero();
  }

  @Test
  void whatIsWithdrawnBehindItInTheQueueNeverGoesOut() throws Exception {
    RespTestServer worker = new RespTestServer(RespTestServer::serveAll);
    serve(256, worker);
    ThriftTestClient client = client();
    String withdrawn = id();
    String closed = id();
    ThriftTestClient leaves = client();
    read(leaves, 1);
    served(client(), worker, 1); // a copy stands: the next one goes out as it is taken
    try (AutoCloseable gate = holdLoop()) {
      client.ask(1, ThriftTestClient.fields("again", withdrawn, 900, FUNCTION), "x");
      client.revoke(2, 1);
      read(client, 3);
      leaves.ask(2, ThriftTestClient.fields("again", closed, 900, FUNCTION), "x");
      read(leaves, 3);
      leaves.close();
      await(() -> platform.openClientConnections() == 2);
    }
    served(client, worker, 4);
    assertThat(worker.received)
        .noneMatch(command -> command.id().equals(withdrawn) || command.id().equals(closed));
    assertThat(platform.resourceUsage().pendingRequests()).isZero();
  }

  /**
   * The answer that lets a second execution begin, and the end of the client, taken in one round in
   * this order.
   */
  @Test
  void noFurtherExecutionBeginsInTheRoundInWhichTheClientsEndIsWaiting() throws Exception {
    CountDownLatch answer = new CountDownLatch(1);
    CountDownLatch answered = new CountDownLatch(1);
    RespTestServer.Behaviour behaviour =
        (command, out) -> {
          if (!command.word().equals("DO") || !command.words().get(3).equals("turned away")) {
            return RespTestServer.serveAll(command, out);
          }
          answer.await();
          RespTestServer.say(out, command.id(), "full", "-", "");
          answered.countDown();
          return true;
        };
    RespTestServer one = new RespTestServer(behaviour);
    RespTestServer two = new RespTestServer(behaviour);
    serve(256, one, two);
    ThriftTestClient usual = client();
    int number = 0;
    while (one.commands("DO").isEmpty()
        || two.commands("DO").isEmpty()) { // a connection to each is up
      usual.ask(
          ++number,
          ThriftTestClient.fields("again", id(), 900, String.format("%016x", number)),
          "x");
      assertThat(usual.reply().field()).isZero();
    }
    ThriftTestClient leaves = client();
    String id = id();
    leaves.ask(
        1,
        ThriftTestClient.fields("again", id, 900, String.format("%016x", number)),
        "turned away");
    await(() -> one.commands("DO").size() + two.commands("DO").size() > usualCalls(one, two, id));
    int before = platform.openClientConnections();
    try (AutoCloseable gate = holdLoop()) {
      answer.countDown();
      answered.await();
      read(usual, ++number); // twice: what came before the first has been read with the second
      read(usual, ++number);
      leaves.close();
      await(() -> platform.openClientConnections() == before - 1);
    }
    usual.ask(++number, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
    assertThat(usual.reply().field()).isZero();
    assertThat(one.commands("DO").size() + two.commands("DO").size() - usualCalls(one, two, id))
        .isEqualTo(1);
  }

  private static int usualCalls(RespTestServer one, RespTestServer two, String but) {
    return (int)
        java.util.stream.Stream.of(one, two)
            .flatMap(worker -> worker.commands("DO").stream())
            .filter(command -> !command.id().equals(but))
            .count();
  }

  /**
   * Without leave to cancel, too: an execution that waits for its connection went out when that
   * came up, for nobody.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void whatWaitsForAConnectionDoesNotGoOutOnceItsClientHasLeft(boolean mayCancel) throws Exception {
    settings =
        settings
            .replace("\"Cancel\":true", "\"Cancel\":" + mayCancel)
            .replace("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000")
            .replace(
                "\"AimUs\":300000,\"DeadlineUs\":1000000",
                "\"AimUs\":4000000,\"DeadlineUs\":9000000");
    ServerSocket full =
        new ServerSocket(0, 1, InetAddress.getLoopbackAddress()); // takes no connection yet
    resources.add(full);
    List<Socket> before = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Socket socket = new Socket(full.getInetAddress(), full.getLocalPort());
      resources.add(socket);
      before.add(socket);
    }
    serveAt(256, "127.0.0.1:" + full.getLocalPort());
    ThriftTestClient stays = client();
    ThriftTestClient leaves = client();
    String left = id();
    String kept = id();
    leaves.ask(1, ThriftTestClient.fields("again", left, 8000, FUNCTION), "x");
    await(() -> usage().pendingRequests() == 1 && usage().workerConnections() > 0);
    stays.ask(1, ThriftTestClient.fields("again", kept, 8000, FUNCTION), "x");
    await(() -> usage().pendingRequests() == 2);
    leaves.close();
    await(() -> usage().pendingRequests() == 1);
    CountDownLatch came = new CountDownLatch(1);
    StringBuilder heard = new StringBuilder();
    Thread accepts =
        new Thread(
            () -> {
              try {
                for (int number = 0; ; number++) {
                  Socket socket = full.accept();
                  resources.add(socket);
                  if (number >= before.size()) {
                    byte[] some = new byte[4096];
                    for (int connection = socket.getInputStream().read(some);
                        connection > 0;
                        connection = socket.getInputStream().read(some)) {
                      heard.append(
                          new String(
                              some, 0, connection, java.nio.charset.StandardCharsets.ISO_8859_1));
                      if (heard.indexOf(kept) >= 0) {
                        came.countDown();
                      }
                    }
                  }
                }
              } catch (java.io.IOException e) {
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

  /**
   * The client's new connection is read before the end of the old one, which the router itself
   * closed.
   */
  @Test
  void aCallSentAgainOnANewConnectionDoesNotMeetItself() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) ->
                (command.word().equals("DO") && command.words().get(3).equals("first"))
                    || RespTestServer.serveAll(command, out));
    serve(256, worker);
    ThriftTestClient oldClient = client();
    ThriftTestClient newClient = client();
    read(newClient, 1);
    String id = id();
    oldClient.ask(1, ThriftTestClient.fields("again", id, 900, FUNCTION), "first");
    await(() -> worker.commands("DO").size() == 1);
    try (AutoCloseable gate = holdLoop()) {
      oldClient.ask(
          1,
          ThriftTestClient.fields("again", id(), 900, FUNCTION),
          "under a number that is taken: the router closes");
      read(oldClient, 2);
      newClient.ask(2, ThriftTestClient.fields("again", id, 900, FUNCTION), "second");
      read(newClient, 3);
    }
    assertThat(text(newClient.reply())).isEqualTo(id + ":second");
    assertThat(oldClient.reply()).isNull();
  }

  /**
   * With each place taken by connections that wait for an answer, neither one of them goes nor the
   * one that has just come, as its request has been read; room is made once one of them is idle.
   */
  @Test
  void aConnectionWithAPendingRequestIsNeverTheOneThatMakesRoom() throws Exception {
    CountDownLatch answer = new CountDownLatch(1);
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> {
              if (command.word().equals("DO")) {
                answer.await();
              }
              return RespTestServer.serveAll(command, out);
            });
    serve(30, worker); // ten places
    List<ThriftTestClient> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      ThriftTestClient client = client();
      client.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
      all.add(client);
    }
    await(() -> usage().pendingRequests() == 10);
    try (AutoCloseable gate = holdLoop()) {
      ThriftTestClient newest = client();
      newest.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x"); // it is busy, too
      read(newest, 2);
      all.add(newest);
    }
    Thread.sleep(100); // time to make room, which there is none for
    assertThat(platform.openClientConnections()).isEqualTo(11);
    answer.countDown();
    for (int i = 0; i < 11; i++) {
      assertThat(all.get(i).reply()).as("client %d", i).isNotNull();
    }
    await(() -> platform.openClientConnections() == 10);
  }

  /**
   * A client whose time has run out withdraws its request, too: the answer that it did not get is
   * still owed.
   */
  @Test
  void aRevokeBehindTheDeadlineFreesNoRequestOfItsAnswer() throws Exception {
    serve(64, new RespTestServer(RespTestServer::serveAll));
    ThriftTestClient client = client();
    read(client, 1);
    try (AutoCloseable gate = holdLoop()) {
      client.ask(2, ThriftTestClient.fields("again", id(), 50, FUNCTION), "x");
      read(client, 3);
      Thread.sleep(100);
      client.revoke(4, 2);
      read(client, 5);
    }
    assertThat(client.reply().number()).isEqualTo(2);
  }

  @Test
  void aRevokeBehindTheDeadlineFreesNoRequestInFlightOfItsAnswer() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> command.word().equals("DO") || RespTestServer.serveAll(command, out));
    serve(64, worker);
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("again", id(), 150, FUNCTION), "x");
    await(() -> !worker.commands("DO").isEmpty());
    try (AutoCloseable gate = holdLoop()) {
      Thread.sleep(250);
      client.revoke(2, 1);
      read(client, 3);
    }
    assertThat(client.reply().number()).isEqualTo(1);
  }

  @Test
  void aRevokeInTimeHasNoAnswer() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, out) -> command.word().equals("DO") || RespTestServer.serveAll(command, out));
    serve(64, worker);
    ThriftTestClient client = client();
    client.ask(1, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
    await(() -> !worker.commands("DO").isEmpty());
    client.revoke(2, 1);
    try (AutoCloseable gate = holdLoop()) {
      client.ask(3, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
      client.revoke(4, 3);
      read(client, 5);
    }
    Thread.sleep(200);
    read(client, 6); // and nothing before it
  }
}
