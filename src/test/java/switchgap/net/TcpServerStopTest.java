package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against clients that are connected, but not accepted, when a server stops accepting: the
 * kernel resets them, with the requests that they have sent.
 */
class TcpServerStopTest {
  private static final int CLIENT_COUNT = 40;
  private static final int SOCKET_TIMEOUT_MILLIS = 3000;
  private static final byte BLOCK = 'b';

  /** Replies with y to each byte; the byte {@link #BLOCK} first blocks the selector thread. */
  private static final class BlockingListener implements TcpConnection.Listener {
    private final CountDownLatch isBlocked = new CountDownLatch(1);
    private final CountDownLatch unblock = new CountDownLatch(1);
    private final AtomicInteger openedCount = new AtomicInteger();

    @Override
    public void opened(TcpConnection connection) {
      openedCount.incrementAndGet();
    }

    @Override
    public void received(TcpConnection connection, ByteBuffer bytes) {
      if (bytes.get() == BLOCK) {
        isBlocked.countDown();
        try {
          unblock.await();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      connection.send(new byte[] {'y'});
    }

    @Override
    public void closed(TcpConnection connection, CloseCause cause) {}
  }

  private final BlockingListener listener = new BlockingListener();

  private static Socket connect(int port) throws IOException {
    Socket client = new Socket("127.0.0.1", port);
    client.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return client;
  }

  private List<Socket> connectWhileBlocked(TcpServer server) throws Exception {
    Socket blocker = connect(server.port());
    blocker.getOutputStream().write(BLOCK);
    listener.isBlocked.await();
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      Socket client = connect(server.port());
      client.getOutputStream().write('x');
      clients.add(client);
    }
    clients.add(blocker);
    return clients;
  }

  private static void assertAnswered(List<Socket> clients) throws IOException {
    for (Socket client : clients) {
      assertThat(client.getInputStream().read()).isEqualTo('y');
      client.close();
    }
  }

  @Test
  void clientsThatWaitWhenAcceptingStopsAreServed() throws Exception {
    try (NetworkTransport transport = new NetworkTransport(1, "stop");
        TcpServer server = TcpServer.listen(transport, "127.0.0.1", 0, 128, listener)) {
      List<Socket> clients = connectWhileBlocked(server);
      Thread stop = new Thread(() -> server.stopAccepting(Duration.ofSeconds(2)));
      stop.start();
      listener.unblock.countDown();
      stop.join();
      assertAnswered(clients);
    }
  }

  @Test
  void reportsThatItStillAcceptsWhileTheSelectorThreadIsBlocked() throws Exception {
    try (NetworkTransport transport = new NetworkTransport(1, "stop");
        TcpServer server = TcpServer.listen(transport, "127.0.0.1", 0, 128, listener)) {
      List<Socket> clients = connectWhileBlocked(server);
      assertThat(server.stopAccepting(Duration.ofMillis(20))).isFalse();
      listener.unblock.countDown();
      assertThat(server.stopAccepting(Duration.ofSeconds(2))).isTrue();
      assertAnswered(clients);
    }
  }

  @Test
  void keepsAcceptingWhilePaused() throws Exception {
    try (NetworkTransport transport = new NetworkTransport(1, "stop");
        TcpServer server = TcpServer.listen(transport, "127.0.0.1", 0, 128, listener)) {
      server.pause();
      List<Socket> clients = List.of(connect(server.port()));
      clients.get(0).getOutputStream().write('x');
      assertThat(server.stopAccepting(Duration.ofSeconds(2))).isFalse();
      server.resume();
      assertAnswered(clients);
      assertThat(server.stopAccepting(Duration.ofSeconds(2))).isTrue();
    }
  }

  /** Connections that are established up to the moment of the close are accepted. */
  @Test
  void refusesClientsOnceItHasStopped() throws Exception {
    try (NetworkTransport transport = new NetworkTransport(2, "stop")) {
      TcpServer server = TcpServer.listen(transport, "127.0.0.1", 0, 128, listener);
      int port = server.port();
      List<Socket> clients = new ArrayList<>();
      for (int i = 0; i < CLIENT_COUNT; i++) {
        clients.add(connect(port));
      }
      assertThat(server.stopAccepting(Duration.ofSeconds(2))).isTrue();
      assertThat(refusesConnections(port)).isTrue();
      transport.awaitPendingReads();
      assertThat(listener.openedCount.get()).isEqualTo(CLIENT_COUNT);
      for (Socket client : clients) {
        client.getOutputStream().write('x');
      }
      assertAnswered(clients);
    }
  }

  @Test
  void reportsThatAClosedServerHasStopped() throws Exception {
    try (NetworkTransport transport = new NetworkTransport(1, "stop")) {
      TcpServer server = TcpServer.listen(transport, "127.0.0.1", 0, 128, listener);
      server.close();
      assertThat(server.stopAccepting(Duration.ofSeconds(2))).isTrue();
      assertThat(server.stopAccepting(Duration.ofSeconds(2))).isTrue();
    }
  }

  private static boolean refusesConnections(int port) {
    try (Socket client = connect(port)) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }
}
