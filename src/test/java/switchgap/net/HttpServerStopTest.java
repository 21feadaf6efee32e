package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that a stopping server loses: in the kernel's accept queue, or sent on a
 * connection that closes without notice.
 */
class HttpServerStopTest {
  private static final int CLIENT_COUNT = 20;
  private static final int TIMEOUT_SECONDS = 5;
  private static final String BLOCKING_PATH = "/block";

  private final BlockingQueue<HttpExchange> received = new LinkedBlockingQueue<>();
  private final CountDownLatch isBlocked = new CountDownLatch(1);
  private final CountDownLatch unblock = new CountDownLatch(1);
  private NetworkTransport transport;
  private HttpServer server;
  private int port;

  @BeforeEach
  void listen() throws Exception {
    transport = new NetworkTransport(1, "stopping");
    server = new HttpServer(transport, HttpServerLimits.DEFAULT, this::handle);
    port = server.listen("127.0.0.1", 0);
  }

  @AfterEach
  void close() {
    unblock.countDown();
    server.close();
    transport.close();
  }

  private void handle(HttpExchange exchange) {
    received.add(exchange);
    if (exchange.path().equals(BLOCKING_PATH)) {
      isBlocked.countDown();
      try {
        unblock.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private Socket sendRequest(String path) throws Exception {
    Socket client = new Socket("127.0.0.1", port);
    client.setSoTimeout(TIMEOUT_SECONDS * 1000);
    HttpServerFixture.send(client, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return client;
  }

  @Test
  void requestsInTheAcceptQueueAreHandled() throws Exception {
    List<Socket> clients = new ArrayList<>();
    clients.add(sendRequest(BLOCKING_PATH));
    isBlocked.await();
    for (int i = 1; i < CLIENT_COUNT; i++) {
      clients.add(sendRequest("/"));
    }
    Thread stop = new Thread(server::stopListening);
    stop.start();
    unblock.countDown();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      HttpExchange exchange = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertThat(exchange).as("request " + i).isNotNull();
      exchange.respond(200, Map.of(), HttpServerFixture.ascii("done"));
    }
    stop.join();
    for (Socket client : clients) {
      HttpServerFixture.receive(client, "done");
      client.close();
    }
  }

  @Test
  void responsesOfAStoppingServerAnnounceTheClose() throws Exception {
    try (Socket client = sendRequest("/")) {
      HttpExchange exchange = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      server.stopListening();
      exchange.respond(200, Map.of(), HttpServerFixture.ascii("done"));
      assertThat(HttpServerFixture.receive(client, "done").toLowerCase(Locale.ROOT))
          .contains("connection: close\r\n");
      HttpServerFixture.assertClosedByServer(client);
    }
  }
}
