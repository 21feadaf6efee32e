package switchgap.server.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;

/**
 * Clients that send small submits with invalid fields at full speed on many connections, and read
 * and discard all replies. One thread serves all connections.
 */
final class FloodingClients implements AutoCloseable {
  private static final int SUBMITS_PER_BURST = 250;

  /** Fields of a submit of about 130 bytes, none of which is valid. */
  private static final Map<String, String> INVALID_FIELDS =
      Map.of(
          "service", "x", "ref", "x", "allow", "x", "project", "x", "lookup", "x", "effort", "x",
          "extras", "x");

  private static final class Client {
    final SocketChannel channel;
    final ByteBuffer burst;

    Client(int port, byte[] burst) throws IOException {
      channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
      channel.configureBlocking(false);
      this.burst = ByteBuffer.wrap(burst);
    }

    void exchange(ByteBuffer discarded) throws IOException {
      channel.write(burst);
      if (!burst.hasRemaining()) {
        burst.rewind();
      }
      if (channel.read(discarded.clear()) < 0) {
        throw new IOException("closed by the router");
      }
    }
  }

  private final List<Client> clients = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "flood");
  private volatile boolean isEnded;
  private final AtomicInteger closedByRouter = new AtomicInteger();

  /** Opens the connections and starts to send. */
  FloodingClients(int port, int connections) throws Exception {
    byte[] burst = burst();
    for (int i = 0; i < connections; i++) {
      clients.add(new Client(port, burst));
    }
    thread.start();
  }

  private static byte[] burst() throws TException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int sequenceId = 1; sequenceId <= SUBMITS_PER_BURST; sequenceId++) {
      bytes.writeBytes(ThriftTestClient.submitFrame(sequenceId, INVALID_FIELDS, new byte[0]));
    }
    return bytes.toByteArray();
  }

  private void run() {
    ByteBuffer discarded = ByteBuffer.allocateDirect(1 << 16);
    while (!isEnded && !clients.isEmpty()) {
      clients.removeIf(client -> !exchange(client, discarded));
    }
  }

  private boolean exchange(Client client, ByteBuffer discarded) {
    try {
      client.exchange(discarded);
      return true;
    } catch (IOException e) {
      closedByRouter.incrementAndGet();
      return false;
    }
  }

  /** Number of connections that the router has closed. */
  int closedByRouter() {
    return closedByRouter.get();
  }

  @Override
  public void close() throws Exception {
    isEnded = true;
    thread.join();
    for (Client client : clients) {
      client.channel.close();
    }
  }
}
