import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients hold up to a third of the descriptor limit in connections and use them; bad clients
 * connect by the hundreds and say nothing, and connect again when they are turned away.
 */
final class Crowd {
  private static final int SOCKETS = 1024;
  /** Under a third of the descriptor limit. */
  private static final int USUAL_CONNECTIONS = 320;
  private static final int SILENT_CONNECTIONS = 200;
  private static final int THREADS = 4;
  private static final int SECONDS = 80;
  private static final int TROUBLE_AFTER_MS = 3000;
  private static final long ALLOW_MS = 1500;
  /** Each usual connection carries a message at this interval; one in so many is a request. */
  private static final int MIN_PAUSE_MS = 80;
  private static final int MAX_PAUSE_MS = 160;
  private static final int MESSAGES_PER_REQUEST = 4;

  private final Rig.Recorder recorder;
  private final int port;
  private final AtomicLong heartbeats = new AtomicLong();
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong answers = new AtomicLong();
  private final AtomicLong silentConnects = new AtomicLong();
  private final AtomicLong closedByRouter = new AtomicLong();
  private volatile boolean ended;

  private Crowd(Rig.Recorder recorder, int port) {
    this.recorder = recorder;
    this.port = port;
  }

  public static void main(String[] args) throws Exception {
    Rig.Recorder recorder = new Rig.Recorder(Path.of(args[2]));
    Rig.Router router = new Rig.Router(Path.of(args[0]), Path.of(args[1]));
    int result = Rig.NOT_RUN;
    try {
      result = new Crowd(recorder, router.port).run(router);
    } finally {
      router.end();
      recorder.close();
    }
    System.exit(result);
  }

  private int run(Rig.Router router) throws Exception {
    Rig.Feed feed = new Rig.Feed();
    String[] targets = new String[3];
    for (int i = 0; i < targets.length; i++) {
      String name = "m" + i;
      Rig.Server server =
          new Rig.Server(name, Rig.listen(50), (connection, id, fields, body) -> {
            recorder.line("%s DO %s", name, id);
            connection.answer(id, "data", "crowd=0", "done " + id);
          }, recorder);
      server.start();
      targets[i] = Rig.target("s-" + i, server.port(), "SERVING");
    }
    feed.events.add(Rig.event(1, true, targets));
    String lanes = "[" + Rig.lane("again", "retryable", "all", 3000, 5000) + "]";
    router.start(Rig.settings(lanes, Map.of()), SOCKETS, feed);
    if (!router.awaitReady()) {
      recorder.line("router not ready: %s", router.log());
      return Rig.NOT_RUN;
    }
    for (int i = 0; i < THREADS; i++) {
      int number = i;
      Rig.daemon("crowd" + i, () -> runClients(new Random(number)));
    }
    long end = System.nanoTime() + SECONDS * 1_000_000_000L;
    while (System.nanoTime() < end && router.process.isAlive()) {
      Rig.sleep(1000);
      recorder.line("usual: %d heartbeats, %d requests, %d answers; silent: %d connects; %d connections"
          + " closed by the router", heartbeats.get(), requests.get(), answers.get(),
          silentConnects.get(), closedByRouter.get());
    }
    boolean alive = router.process.isAlive();
    ended = true;
    Rig.sleep(200);
    if (!alive) {
      recorder.line("the router exited with code %d", router.process.exitValue());
    }
    recorder.line("its log:%n%s", router.log());
    recorder.line(alive ? "HELD" : "BROKEN");
    return answers.get() == 0 ? Rig.NOT_RUN : alive ? Rig.HELD : Rig.BROKEN;
  }

  /** A client connection, opened again some time after it ended. */
  private static final class Connection {
    boolean silent;
    SocketChannel channel;
    boolean connected;
    long nextNanos;
    int sequence;
    boolean awaitsReply;
    String openRequest;
  }

  private void runClients(Random random) throws IOException {
    Selector selector = Selector.open();
    List<Connection> connections = new ArrayList<>();
    int silent = Rig.TROUBLE ? SILENT_CONNECTIONS / THREADS : 0;
    for (int i = 0; i < USUAL_CONNECTIONS / THREADS + silent; i++) {
      Connection connection = new Connection();
      connection.silent = i < silent;
      int firstMs = random.nextInt(1000) + (connection.silent ? TROUBLE_AFTER_MS : 0);
      connection.nextNanos = System.nanoTime() + millis(firstMs);
      connections.add(connection);
    }
    ByteBuffer buffer = ByteBuffer.allocate(4096);
    while (!ended) {
      selector.select(1);
      for (SelectionKey key : selector.selectedKeys()) {
        Connection connection = (Connection) key.attachment();
        try {
          handle(connection, key, buffer, random);
        } catch (IOException e) {
          connectionEnded(connection, random);
        }
      }
      selector.selectedKeys().clear();
      long now = System.nanoTime();
      for (Connection connection : connections) {
        if (now >= connection.nextNanos) {
          try {
            act(connection, selector, random);
          } catch (IOException e) {
            connectionEnded(connection, random);
          }
        }
      }
    }
  }

  private void handle(Connection connection, SelectionKey key, ByteBuffer buffer, Random random)
      throws IOException {
    if (key.isConnectable() && connection.channel.finishConnect()) {
      connection.connected = true;
      connection.nextNanos = System.nanoTime();
      key.interestOps(SelectionKey.OP_READ);
    } else if (key.isReadable()) {
      buffer.clear();
      if (connection.channel.read(buffer) < 0) {
        throw new IOException("closed");
      }
      connection.awaitsReply = false;
      if (connection.openRequest != null) {
        recorder.line("client gets an answer for %s", connection.openRequest);
        connection.openRequest = null;
        answers.incrementAndGet();
      }
    }
  }

  private void connectionEnded(Connection connection, Random random) throws IOException {
    if (connection.openRequest != null) {
      recorder.line("connection ended under %s", connection.openRequest);
      connection.openRequest = null;
    }
    closedByRouter.incrementAndGet();
    connection.channel.close();
    connection.channel = null;
    connection.connected = false;
    connection.awaitsReply = false;
    int pause = connection.silent ? 200 + random.nextInt(600) : 20 + random.nextInt(80);
    connection.nextNanos = System.nanoTime() + millis(pause);
  }

  private void act(Connection connection, Selector selector, Random random) throws IOException {
    int pause = MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS);
    connection.nextNanos = System.nanoTime() + millis(pause);
    if (connection.channel == null) {
      open(connection, selector);
    } else if (connection.connected && !connection.silent && !connection.awaitsReply) {
      connection.sequence++;
      byte[] message;
      if (connection.sequence % MESSAGES_PER_REQUEST == 0) {
        connection.openRequest = String.format("%016x", random.nextLong());
        requests.incrementAndGet();
        recorder.line("client sends %s", connection.openRequest);
        message = Rig.Thrift.submit(connection.sequence,
            Rig.fields("again", connection.openRequest, ALLOW_MS, "7f3a9c21e0b4d655", "1"),
            new byte[8]);
      } else {
        heartbeats.incrementAndGet();
        message = Rig.Thrift.heartbeat(connection.sequence);
      }
      connection.awaitsReply = true;
      connection.channel.write(ByteBuffer.wrap(message));
    }
  }

  private void open(Connection connection, Selector selector) throws IOException {
    if (connection.silent) {
      silentConnects.incrementAndGet();
    }
    connection.sequence = 0;
    connection.channel = SocketChannel.open();
    connection.channel.configureBlocking(false);
    connection.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    SelectionKey key = connection.channel.register(selector, SelectionKey.OP_CONNECT, connection);
    if (connection.channel.connect(new InetSocketAddress(Rig.LOOPBACK, port))) {
      connection.connected = true;
      connection.nextNanos = System.nanoTime();
      key.interestOps(SelectionKey.OP_READ);
    }
  }

  private static long millis(long count) {
    return count * 1_000_000;
  }
}
