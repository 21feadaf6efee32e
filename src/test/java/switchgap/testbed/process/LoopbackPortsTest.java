package switchgap.testbed.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * Guards against a port that another socket takes between the search for free ports and the start
 * of the program that is to listen there.
 */
class LoopbackPortsTest {
  private static final int BACKLOG = 5;

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  @Test
  void noOtherSocketGetsAReservedPort() throws Exception {
    try (LoopbackPorts ports = LoopbackPorts.reserve(2);
        Socket other = new Socket()) {
      assertThat(ports.get(0)).isNotEqualTo(ports.get(1));
      other.setReuseAddress(false);
      assertThatThrownBy(() -> other.bind(address(ports.get(0)))).isInstanceOf(BindException.class);
    }
  }

  @Test
  void programListensAtAReservedPortAgainAndAgain() throws Exception {
    try (LoopbackPorts ports = LoopbackPorts.reserve(1)) {
      int port = ports.get(0);
      for (int i = 0; i < 3; i++) {
        assertRefused(port);
        try (ServerSocket program = new ServerSocket()) {
          program.setReuseAddress(true);
          program.bind(address(port), BACKLOG);
          LoopbackPorts.awaitListening(port);
          program.accept().close();
        }
      }
    }
  }

  private static void assertRefused(int port) {
    assertThatThrownBy(() -> new Socket(InetAddress.getLoopbackAddress(), port).close())
        .isInstanceOf(ConnectException.class);
  }

  @Test
  void releasedPortIsFree() throws Exception {
    LoopbackPorts ports = LoopbackPorts.reserve(1);
    int port = ports.get(0);
    ports.close();
    try (Socket other = new Socket()) {
      other.setReuseAddress(false);
      other.bind(address(port));
      assertThat(other.getLocalPort()).isEqualTo(port);
    } catch (IOException e) {
      throw new AssertionError("port " + port + " is still reserved", e);
    }
  }
}
