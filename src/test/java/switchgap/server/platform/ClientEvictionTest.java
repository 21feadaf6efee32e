package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Which connections are evicted when there are too many: never one in use, or half a message. */
class ClientEvictionTest extends PlatformFixture {
  private static final int SOCKETS = 120; // forty of them for clients

  private static byte[] submitFrame(String id) throws Exception {
    return ThriftTestClient.submitFrame(1, TestSubmit.idempotent(id).timeoutMillis(1900));
  }

  @Test
  void keepsConnectionsWithPartialMessage() throws Exception {
    startRouter(SOCKETS, RespTestServer.executingAll());
    List<ThriftTestClient> slow = new ArrayList<>();
    List<byte[]> rest = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      byte[] message = submitFrame(nextId());
      ThriftTestClient client = connectClient();
      client.sendBytes(Arrays.copyOf(message, message.length / 2));
      rest.add(Arrays.copyOfRange(message, message.length / 2, message.length));
      slow.add(client);
    }
    await(() -> router.openClientConnections() == slow.size());
    for (int i = 0; i < 150; i++) {
      connectClient(); // idle
    }
    Thread.sleep(300); // time for evictions that must not come
    for (int i = 0; i < slow.size(); i++) {
      slow.get(i).sendBytes(rest.get(i));
      ThriftTestClient.Reply reply = slow.get(i).receiveReply();
      assertThat(reply).as("client %d was closed", i).isNotNull();
      assertThat(reply.outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    }
  }

  /** A further client is not closed with its request unread: it waits in the accept backlog. */
  @Test
  void newClientWaitsWhileAllConnectionsAreInUse() throws Exception {
    List<OutputStream> waiting = new CopyOnWriteArrayList<>();
    List<String> ids = new CopyOnWriteArrayList<>();
    startRouter(
        48,
        new RespTestServer(
            (command, output) -> {
              if (!command.isExecution()) {
                return RespTestServer.executeAll(command, output);
              }
              synchronized (waiting) {
                waiting.add(output);
                ids.add(command.id());
              }
              return true;
            }));
    List<ThriftTestClient> clients = new ArrayList<>();
    for (int i = 0; i < 32; i++) {
      ThriftTestClient client = connectClient();
      client.sendBytes(submitFrame(nextId()));
      clients.add(client);
    }
    int answered = 0;
    for (int round = 0; round < 40 && answered < clients.size(); round++) {
      Thread.sleep(25);
      synchronized (waiting) {
        for (int i = 0; i < waiting.size(); i++) {
          RespTestServer.sendReply(
              waiting.get(i), ids.get(i), RespTestServer.SUCCEEDED, RespTestServer.NO_REPORT, "x");
          answered++;
        }
        waiting.clear();
        ids.clear();
      }
    }
    for (int i = 0; i < clients.size(); i++) {
      assertThat(clients.get(i).receiveReply())
          .as("client %d was closed without an answer", i)
          .isNotNull();
      clients.get(i).close();
    }
  }

  /** A reply is on its way to the client, and its next request may be, too. */
  @Test
  void keepsConnectionThatWasJustAnswered() throws Exception {
    startRouter(48, RespTestServer.executingAll()); // sixteen of them for clients
    for (int i = 0; i < 15; i++) {
      connectClient();
    }
    Thread.sleep(100); // until they count as idle
    ThriftTestClient active = connectClient();
    for (int number = 1; number <= 10; number++) {
      active.submit(number, TestSubmit.idempotent(nextId()));
      assertThat(active.receiveReply()).as("request %d", number).isNotNull();
      for (int i = 0; i < 30; i++) {
        connectClient();
      }
    }
  }

  /** Once, the connection opened last was closed instead. */
  @Test
  void evictsLeastRecentlyActiveConnection() throws Exception {
    startRouter(30, RespTestServer.executingAll()); // ten of them for clients
    List<ThriftTestClient> all = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      ThriftTestClient client = connectClient();
      all.add(client);
      client.submit(1, TestSubmit.idempotent(nextId()));
      assertThat(client.receiveReply()).as("client %d", i).isNotNull();
    }
    assertThat(all.get(0).receiveReply()).isNull();
    ThriftTestClient last = all.get(24);
    last.heartbeat(2);
    assertThat(last.receiveReply().healthy()).isTrue();
  }

  /** The newest connection exceeds the limit and stays open until another one is idle. */
  @Test
  void neverEvictsConnectionWithRequestInFlight() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    RespTestServer worker = RespTestServer.executingAfter(allowReply);
    startRouter(30, worker); // ten of them for clients
    List<ThriftTestClient> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      ThriftTestClient client = connectClient();
      client.submit(1, TestSubmit.idempotent(nextId()));
      all.add(client);
    }
    await(() -> usage().pendingRequests() == 10);
    try (AutoCloseable gate = blockEventLoop()) {
      ThriftTestClient newest = connectClient();
      newest.submit(1, TestSubmit.idempotent(nextId())); // it is in use as well
      awaitMessagesRead(newest, 2);
      all.add(newest);
    }
    Thread.sleep(100); // time for an eviction that must not come
    assertThat(router.openClientConnections()).isEqualTo(11);
    allowReply.countDown();
    for (int i = 0; i < 11; i++) {
      assertThat(all.get(i).receiveReply()).as("client %d", i).isNotNull();
    }
    await(() -> router.openClientConnections() == 10);
  }
}
