package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a listener's exception or error ending a selector thread. The process would then
 * keep running without serving any connection.
 */
class SelectorThreadsTest {
  private static final int SOCKET_TIMEOUT_MILLIS = 3000;
  private static final int END_OF_STREAM = -1;

  /** Throws on the byte x and replies with y to any other byte. */
  private static final class FaultyListener implements TcpConnection.Listener {
    private final boolean throwsError;

    FaultyListener(boolean throwsError) {
      this.throwsError = throwsError;
    }

    @Override
    public void opened(TcpConnection connection) {}

    @Override
    public void received(TcpConnection connection, ByteBuffer bytes) {
      if (bytes.get() == 'x' && throwsError) {
        throw new StackOverflowError("injected");
      }
      if (bytes.get(bytes.position() - 1) == 'x') {
        throw new IllegalStateException("injected");
      }
      connection.send(new byte[] {'y'});
    }

    @Override
    public void closed(TcpConnection connection, CloseCause cause) {}
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void servesOtherConnectionsAfterListenerThrows(boolean throwsError) throws Exception {
    try (NetworkTransport transport = new NetworkTransport(1, "faulty");
        TcpServer server =
            TcpServer.listen(transport, "127.0.0.1", 0, 50, new FaultyListener(throwsError))) {
      for (int i = 0; i < 3; i++) {
        try (Socket faulty = new Socket("127.0.0.1", server.port());
            Socket healthy = new Socket("127.0.0.1", server.port())) {
          faulty.getOutputStream().write('x');
          assertThat(readByte(faulty))
              .as("byte read from the faulty connection")
              .isEqualTo(END_OF_STREAM);
          healthy.getOutputStream().write('g');
          assertThat(readByte(healthy)).isEqualTo('y');
        }
      }
    }
  }

  /** Returns the next byte, or {@link #END_OF_STREAM} if the connection was closed or reset. */
  private static int readByte(Socket socket) throws IOException {
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    try {
      return socket.getInputStream().read();
    } catch (SocketException e) {
      return END_OF_STREAM;
    }
  }
}
