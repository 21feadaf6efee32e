package switchgap.server.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Which connections go when there are too many: never one with anything under way, be it half a
 * message.
 */
class ClientEvictionTest extends PlatformFixture {
  private static final int SOCKETS = 120; // forty for clients

  private static byte[] submit(String id) throws Exception {
    return ThriftTestClient.submit(
        1, ThriftTestClient.fields("again", id, 1900, FUNCTION), "x".getBytes(UTF_8));
  }

  @Test
  void clientsInTheMiddleOfAMessageKeepTheirConnections() throws Exception {
    serve(SOCKETS, new RespTestServer(RespTestServer::serveAll));
    List<ThriftTestClient> slow = new ArrayList<>();
    List<byte[]> rest = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      byte[] message = submit(id());
      ThriftTestClient client = client();
      client.raw(Arrays.copyOf(message, message.length / 2));
      rest.add(Arrays.copyOfRange(message, message.length / 2, message.length));
      slow.add(client);
    }
    await(() -> platform.openClientConnections() == slow.size());
    for (int i = 0; i < 150; i++) {
      client();
    } // they connect and stay
    Thread.sleep(300);
    for (int i = 0; i < slow.size(); i++) {
      slow.get(i).raw(rest.get(i));
      ThriftTestClient.Reply reply = slow.get(i).reply();
      assertThat(reply).as("client %d was closed", i).isNotNull();
      assertThat(reply.field()).isZero();
    }
  }

  /**
   * All places are in use: a further client is not closed with its request unread, it waits for a
   * place.
   */
  @Test
  void aNewClientWaitsWhereAllOthersAreInUse() throws Exception {
    List<java.io.OutputStream> held = new java.util.concurrent.CopyOnWriteArrayList<>();
    List<String> ids = new java.util.concurrent.CopyOnWriteArrayList<>();
    serve(
        48,
        new RespTestServer(
            (command, out) -> {
              if (!command.word().equals("DO")) {
                return RespTestServer.serveAll(command, out);
              }
              synchronized (held) {
                held.add(out);
                ids.add(command.id());
              }
              return true;
            }));
    List<ThriftTestClient> clients = new ArrayList<>();
    for (int i = 0; i < 32; i++) {
      ThriftTestClient client = client();
      client.raw(submit(id()));
      clients.add(client);
    }
    int answered = 0;
    for (int round = 0; round < 40 && answered < clients.size(); round++) {
      Thread.sleep(25);
      synchronized (held) {
        for (int i = 0; i < held.size(); i++) {
          RespTestServer.say(held.get(i), ids.get(i), "data", "-", "x");
          answered++;
        }
        held.clear();
        ids.clear();
      }
    }
    for (int i = 0; i < clients.size(); i++) {
      assertThat(clients.get(i).reply())
          .as("client %d was closed without an answer", i)
          .isNotNull();
      clients.get(i).close();
    }
  }

  /** Its answer is on its way and its next request may be, too: others go, or the new ones wait. */
  @Test
  void aClientThatHasJustBeenAnsweredKeepsItsConnection() throws Exception {
    serve(48, new RespTestServer(RespTestServer::serveAll)); // sixteen places
    for (int i = 0; i < 15; i++) {
      client();
    }
    Thread.sleep(100); // these are of no use
    ThriftTestClient usual = client();
    for (int number = 1; number <= 10; number++) {
      usual.ask(number, ThriftTestClient.fields("again", id(), 900, FUNCTION), "x");
      assertThat(usual.reply()).as("request %d", number).isNotNull();
      for (int i = 0; i < 30; i++) {
        client();
      }
    }
  }
}
