package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Opening a connection has exactly one outcome, within its timeout. */
class ConnectorTest {
  private static final int WAIT_TIMEOUT_SECONDS = 5;

  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

  private final class OutcomeCallback implements Connector.ConnectCallback<TcpConnection> {
    @Override
    public void connected(TcpConnection connection) {
      outcomes.add("connected");
    }

    @Override
    public void failed(ConnectFailure failure) {
      outcomes.add("failed: " + failure);
    }
  }

  private static final class SilentListener implements TcpConnection.Listener {
    @Override
    public void opened(TcpConnection connection) {}

    @Override
    public void received(TcpConnection connection, ByteBuffer bytes) {}

    @Override
    public void closed(TcpConnection connection, CloseCause cause) {}
  }

  private String connect(NetworkTransport transport, int port, Duration timeout) throws Exception {
    new TcpConnector(transport, new SilentListener())
        .connect(new InetSocketAddress("127.0.0.1", port), timeout, new OutcomeCallback());
    return outcomes.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void connectsToOpenPort() throws Exception {
    try (NetworkTransport transport = new NetworkTransport(1, "connect");
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      assertThat(connect(transport, listener.getLocalPort(), Duration.ofMillis(500)))
          .isEqualTo("connected");
      assertThat(outcomes.poll(700, TimeUnit.MILLISECONDS))
          .as("further outcome after the timeout")
          .isNull();
    }
  }

  @Test
  void failsWhenPortIsClosed() throws Exception {
    int port;
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      port = listener.getLocalPort();
    }
    try (NetworkTransport transport = new NetworkTransport(1, "connect")) {
      assertThat(connect(transport, port, Duration.ofSeconds(2))).startsWith("failed: ");
      assertThat(outcomes.poll(100, TimeUnit.MILLISECONDS)).isNull();
    }
  }

  /**
   * The peer is a listener with a full backlog, which drops further connection attempts without a
   * reply.
   */
  @Test
  void failsAtTimeoutWhenPeerNeverReplies() throws Exception {
    List<Socket> backlog = new ArrayList<>();
    try (NetworkTransport transport = new NetworkTransport(1, "connect");
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 2; i++) {
        backlog.add(new Socket(InetAddress.getLoopbackAddress(), listener.getLocalPort()));
      }
      assertThat(connect(transport, listener.getLocalPort(), Duration.ofMillis(300)))
          .isEqualTo("failed: connection not opened within 300 ms");
      assertThat(outcomes.poll(100, TimeUnit.MILLISECONDS)).isNull();
    } finally {
      for (Socket socket : backlog) {
        socket.close();
      }
    }
  }
}
