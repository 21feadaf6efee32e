package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The one selector outlives whatever reading a connection does: else a process is up that serves nobody. */
class SelectorThreadsTest {
    private static final class Planted implements TcpConnection.Listener {
        private final boolean error;

        Planted(boolean error) { this.error = error; }

        @Override public void opened(TcpConnection l) {}

        @Override public void received(TcpConnection l, ByteBuffer more) {
            if (more.get() == 'x' && error) { throw new StackOverflowError("planted"); }
            if (more.get(more.position() - 1) == 'x') { throw new IllegalStateException("planted"); }
            l.send(new byte[] {'y'});
        }

        @Override public void closed(TcpConnection l, String why) {}
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false}) void aFaultInReadingOneConnectionLeavesTheOthersServed(
        boolean error) throws Exception {
        try (NetworkTransport net = new NetworkTransport(1, "planted");
            TcpConnection.Server door = TcpConnection.listen(net, "127.0.0.1", 0, 50, new Planted(error))) {
            for (int i = 0; i < 3; i++) {
                try (Socket bad = new Socket("127.0.0.1", door.port());
                    Socket good = new Socket("127.0.0.1", door.port())) {
                    bad.getOutputStream().write('x');
                    assertThat(answer(bad)).as("the faulty one ends").isNegative();
                    good.getOutputStream().write('g');
                    assertThat(answer(good)).isEqualTo('y');
                }
            }
        }
    }

    private static int answer(Socket s) throws Exception {
        s.setSoTimeout(3000);
        InputStream in = s.getInputStream();
        try {
            return in.read();
        } catch (java.net.SocketException x) {
            return -1; // reset
        }
    }
}
