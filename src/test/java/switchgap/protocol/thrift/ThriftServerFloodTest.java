package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import switchgap.net.NetworkTransport;
import switchgap.router.RouterCore;
import switchgap.server.platform.TestPlatformSettings;
import switchgap.testing.TestDiagnostics;

/**
 * Messages that arrive faster than the event loop handles them. The event loop of these tests never
 * runs.
 */
class ThriftServerFloodTest {
  private static final int QUEUE_BYTES = 1000;
  private static final int STRICT_CALL = 0x80010001;
  private static final int STRING_TYPE = 11;

  /** Sends a submit with a body of the given size and without fields. */
  private static void submit(Socket socket, int sequenceId, int bodyBytes) throws IOException {
    byte[] method = "submit".getBytes(StandardCharsets.US_ASCII);
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(4 + 4 + method.length + 4 + 1 + 2 + 4 + bodyBytes + 1);
    out.writeInt(STRICT_CALL);
    out.writeInt(method.length);
    out.write(method);
    out.writeInt(sequenceId);
    out.writeByte(STRING_TYPE);
    out.writeShort(2);
    out.writeInt(bodyBytes);
    out.write(new byte[bodyBytes]);
    out.writeByte(0);
    out.flush();
  }

  /** Whether the server closes the connection within a second. */
  private static boolean isClosed(Socket socket) throws IOException {
    socket.setSoTimeout(1000);
    try {
      return new DataInputStream(socket.getInputStream()).read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    }
  }

  private static ThriftServer server(ConcurrentLinkedQueue<Consumer<RouterCore>> events)
      throws Exception {
    ClientConnectionLimits limits =
        new ClientConnectionLimits(
            10, 10, 1 << 16, QUEUE_BYTES, 10, Duration.ofSeconds(10), Duration.ofMillis(200));
    return new ThriftServer(
        TestPlatformSettings.routerSettings(),
        Map.of(),
        Map.of(),
        limits,
        () -> Duration.ZERO,
        events::add,
        TestDiagnostics.create());
  }

  /**
   * Another client's message fills the queue; the submit is rejected with a reply, and its
   * connection stays open.
   */
  @Test
  void rejectsSubmitWithReplyWhenQueueIsFull() throws Exception {
    ConcurrentLinkedQueue<Consumer<RouterCore>> events = new ConcurrentLinkedQueue<>();
    try (NetworkTransport net = new NetworkTransport(1, "flood-test");
        ThriftServer server = server(events)) {
      server.listen(net, "127.0.0.1", 0);
      try (Socket floodingClient = new Socket("127.0.0.1", server.port());
          Socket otherClient = new Socket("127.0.0.1", server.port())) {
        submit(floodingClient, 1, 600);
        assertThat(isClosed(floodingClient)).isFalse(); // the submit has been read by now
        submit(otherClient, 7, 600);
        otherClient.setSoTimeout(1000);
        DataInputStream input = new DataInputStream(otherClient.getInputStream());
        byte[] reply = input.readNBytes(input.readInt());
        assertThat(reply).as("sequence id in the reply").containsSequence(0, 0, 0, 7);
        assertThat(isClosed(otherClient)).isFalse();
      }
    }
  }

  /**
   * Guards against a rejected message whose bytes stay reserved. One message is queued, the next
   * does not fit, and a shorter one of another client still has to fit.
   */
  @Test
  void rejectedMessageReservesNoQueueBytes() throws Exception {
    ConcurrentLinkedQueue<Consumer<RouterCore>> events = new ConcurrentLinkedQueue<>();
    try (NetworkTransport net = new NetworkTransport(1, "flood-test");
        ThriftServer server = server(events)) {
      server.listen(net, "127.0.0.1", 0);
      try (Socket floodingClient = new Socket("127.0.0.1", server.port());
          Socket otherClient = new Socket("127.0.0.1", server.port())) {
        submit(floodingClient, 1, 600);
        submit(floodingClient, 2, 600);
        floodingClient.setSoTimeout(1000);
        DataInputStream input = new DataInputStream(floodingClient.getInputStream());
        assertThat(input.readNBytes(input.readInt())).containsSequence(0, 0, 0, 2);
        int queuedBefore = events.size();
        submit(otherClient, 1, 300);
        assertThat(isClosed(otherClient)).isFalse();
        assertThat(events.size())
            .as("events, including the queued submit")
            .isEqualTo(queuedBefore + 1);
      }
    }
  }
}
