package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Eviction of connections when there are too many: a connection that is in use or has a partial
 * message is never evicted.
 */
class ClientEvictionTest extends PlatformFixture {
  private static final int MAX_SOCKETS = 120; // clients have a quota of 40

  private static byte[] submitFrame(String id) throws Exception {
    return ThriftTestClient.submitFrame(1, TestSubmit.idempotent(id).timeoutMillis(1900));
  }

  @Test
  void keepsConnectionsWithPartialMessage() throws Exception {
    startRouter(MAX_SOCKETS, RespTestServer.executingAll());
    List<ThriftTestClient> slowClients = new ArrayList<>();
    List<byte[]> remainingBytes = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      byte[] message = submitFrame(nextId());
      ThriftTestClient client = connectClient();
      client.sendBytes(Arrays.copyOf(message, message.length / 2));
      remainingBytes.add(Arrays.copyOfRange(message, message.length / 2, message.length));
      slowClients.add(client);
    }
    await(() -> router.openClientConnections() == slowClients.size());
    for (int i = 0; i < 150; i++) {
      connectClient(); // stays idle
    }
    Thread.sleep(300); // leaves time for evictions, which must not happen
    for (int i = 0; i < slowClients.size(); i++) {
      slowClients.get(i).sendBytes(remainingBytes.get(i));
      ThriftTestClient.Reply reply = slowClients.get(i).receiveReply();
      assertThat(reply)
          .as("reply to client %d, null if the router closed its connection", i)
          .isNotNull();
      assertThat(reply.outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    }
  }

  /**
   * A client that connects while all connections are in use waits in the accept backlog instead of
   * being closed with its request unread.
   */
  @Test
  void newClientWaitsWhileAllConnectionsAreInUse() throws Exception {
    List<OutputStream> pendingOutputs = new CopyOnWriteArrayList<>();
    List<String> pendingIds = new CopyOnWriteArrayList<>();
    startRouter(
        48,
        new RespTestServer(
            (command, output) -> {
              if (!command.isExecution()) {
                return RespTestServer.executeAll(command, output);
              }
              synchronized (pendingOutputs) {
                pendingOutputs.add(output);
                pendingIds.add(command.id());
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
      synchronized (pendingOutputs) {
        for (int i = 0; i < pendingOutputs.size(); i++) {
          RespTestServer.sendReply(
              pendingOutputs.get(i),
              pendingIds.get(i),
              RespTestServer.SUCCEEDED,
              RespTestServer.NO_REPORT,
              "x");
          answered++;
        }
        pendingOutputs.clear();
        pendingIds.clear();
      }
    }
    for (int i = 0; i < clients.size(); i++) {
      assertThat(clients.get(i).receiveReply())
          .as("reply to client %d, null if the router closed its connection", i)
          .isNotNull();
      clients.get(i).close();
    }
  }

  /**
   * A connection is treated as in use shortly after a reply, as the client's next request may be in
   * transit.
   */
  @Test
  void keepsConnectionThatWasJustAnswered() throws Exception {
    startRouter(48, RespTestServer.executingAll()); // clients have a quota of 16
    for (int i = 0; i < 15; i++) {
      connectClient();
    }
    Thread.sleep(100); // the connections become idle
    ThriftTestClient activeClient = connectClient();
    for (int number = 1; number <= 10; number++) {
      activeClient.submit(number, TestSubmit.idempotent(nextId()));
      assertThat(activeClient.receiveReply())
          .as("reply to request %d, null if the router closed the connection", number)
          .isNotNull();
      for (int i = 0; i < 30; i++) {
        connectClient();
      }
    }
  }

  /**
   * Guards against an eviction of the newest connection instead of the least recently active one.
   */
  @Test
  void evictsLeastRecentlyActiveConnection() throws Exception {
    startRouter(30, RespTestServer.executingAll()); // clients have a quota of 10
    List<ThriftTestClient> clients = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      ThriftTestClient client = connectClient();
      clients.add(client);
      client.submit(1, TestSubmit.idempotent(nextId()));
      assertThat(client.receiveReply())
          .as("reply to client %d, null if the router closed its connection", i)
          .isNotNull();
    }
    assertThat(clients.get(0).receiveReply()).isNull();
    ThriftTestClient newestClient = clients.get(24);
    newestClient.heartbeat(2);
    assertThat(newestClient.receiveReply().healthy()).isTrue();
  }

  /** The newest connection exceeds the limit but stays open until a connection is idle. */
  @Test
  void neverEvictsConnectionWithRequestInFlight() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    RespTestServer worker = RespTestServer.executingAfter(allowReply);
    startRouter(30, worker); // clients have a quota of 10
    List<ThriftTestClient> clients = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      ThriftTestClient client = connectClient();
      client.submit(1, TestSubmit.idempotent(nextId()));
      clients.add(client);
    }
    await(() -> usage().pendingRequests() == 10);
    try (AutoCloseable gate = blockEventLoop()) {
      ThriftTestClient newestClient = connectClient();
      // Puts the newest connection in use as well.
      newestClient.submit(1, TestSubmit.idempotent(nextId()));
      awaitMessagesRead(newestClient, 2);
      clients.add(newestClient);
    }
    Thread.sleep(100); // leaves time for an eviction, which must not happen
    assertThat(router.openClientConnections()).isEqualTo(11);
    allowReply.countDown();
    for (int i = 0; i < 11; i++) {
      assertThat(clients.get(i).receiveReply())
          .as("reply to client %d, null if the router closed its connection", i)
          .isNotNull();
    }
    await(() -> router.openClientConnections() == 10);
  }
}
