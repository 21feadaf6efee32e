package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against leaking a file descriptor: closing a connection must release its socket even if
 * the peer does not read the pending bytes.
 */
class ConnectionCloserTest implements TcpConnection.Listener {
  private static final int RESET_TIMEOUT_SECONDS = 3;
  private final CompletableFuture<TcpConnection> opened = new CompletableFuture<>();

  @Test
  void closesSocketAlthoughPeerDoesNotRead() throws Exception {
    try (NetworkTransport net = new NetworkTransport(1, "closer-test");
        TcpServer server = TcpServer.listen(net, "127.0.0.1", 0, 10, this);
        Socket client = new Socket()) {
      client.setReceiveBufferSize(4096);
      client.connect(new InetSocketAddress("127.0.0.1", server.port()));
      TcpConnection connection = opened.get(5, TimeUnit.SECONDS);
      for (int i = 0; i < 16; i++) {
        connection.send(new byte[1 << 20]);
      }
      assertThat(connection.unsentBytes())
          .as("unsent bytes while the client does not read")
          .isPositive();
      connection.close(CloseReason.Transport.WRITE_FAILED);
      assertThat(isReset(client)).as("server side has released the socket").isTrue();
    }
  }

  /**
   * Returns whether the server side releases its socket in time, so that writes by the client fail.
   */
  private static boolean isReset(Socket client) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RESET_TIMEOUT_SECONDS);
    while (System.nanoTime() < deadlineNanos) {
      try {
        client.getOutputStream().write(1);
      } catch (IOException e) {
        return true;
      }
      Thread.sleep(10);
    }
    return false;
  }

  @Override
  public void opened(TcpConnection connection) {
    opened.complete(connection);
  }

  @Override
  public void received(TcpConnection connection, ByteBuffer bytes) {}

  @Override
  public void closed(TcpConnection connection, CloseCause cause) {}
}
