package switchgap.testbed.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A worker: receives RESP commands, replies after the time of their work, and misbehaves on demand.
 * Thread-safe; each connection has a thread.
 */
final class WorkerEmulator implements AutoCloseable {
  /** How a worker misbehaves for a while. */
  enum Misbehaviour {
    NONE,
    /** It reads commands and never replies. */
    HANGS,
    /** Some replies are malformed. */
    MALFORMED_REPLIES,
    /** Some replies are sent twice. */
    DUPLICATE_REPLIES,
    /** Some connections are reset in place of a reply. */
    RESETS_CONNECTIONS,
    /** It rejects all requests. */
    REJECTS
  }

  /** In place of a port: any free one. */
  static final int ANY_PORT = 0;

  private static final Pattern TIMEOUT = Pattern.compile("max=(\\d+)");
  private static final int WORK_MILLIS = 20;
  private static final int COMMAND_MILLIS = 1;
  private static final int BACKLOG = 200;

  /** One reply in so many is affected by a misbehaviour that affects some. */
  private static final int AFFECTED_EVERY = 5;

  private static final String LOAD_REPORT = "report=load_share:0.1;concurrent:1";
  private static final byte[] MALFORMED_REPLY =
      "*4\r\n$-7\r\nnoise\r\n".getBytes(StandardCharsets.ISO_8859_1);

  private static final String QUERY = "count=0";

  private final String name;
  private final String recordName;
  private final SoakRecords records;
  private final ScheduledExecutorService timers;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger replies = new AtomicInteger();
  private volatile Misbehaviour misbehaviour = Misbehaviour.NONE;
  private volatile int acceptDelayMillis;
  private volatile boolean draining;

  /** Starts a worker, which has a name of its own, at a free port of the loopback address. */
  WorkerEmulator(String name, SoakRecords records, ScheduledExecutorService timers)
      throws IOException {
    this(name, name, ANY_PORT, records, timers);
  }

  /**
   * Starts a worker at a port of the loopback address.
   *
   * @param name its name in the endpoint list
   * @param recordName its name in the records, by which processes of the same name differ
   */
  WorkerEmulator(
      String name,
      String recordName,
      int port,
      SoakRecords records,
      ScheduledExecutorService timers)
      throws IOException {
    this.name = name;
    this.recordName = recordName;
    this.records = records;
    this.timers = timers;
    this.listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
    DaemonThreads.start("worker-" + name, this::acceptAll);
  }

  String name() {
    return name;
  }

  /** Its name in the records. */
  String recordName() {
    return recordName;
  }

  int port() {
    return listener.getLocalPort();
  }

  /**
   * Begins to drain: probes fail, requests and loads are rejected, and what it has goes on, as the
   * platform's workers do it.
   */
  void drain() {
    draining = true;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Misbehaves from now on, until the next call. */
  void misbehave(Misbehaviour how) {
    misbehaviour = how;
  }

  /** Serves new connections only after a delay. */
  void delayAccepts(int millis) {
    acceptDelayMillis = millis;
  }

  /** Closes all connections with all requests that are in flight on them. */
  void closeConnections() {
    connections.forEach(WorkerEmulator::closeQuietly);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      return; // it is closed
    }
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        int delayMillis = acceptDelayMillis;
        DaemonThreads.start("worker-" + name, () -> serve(socket, delayMillis));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void serve(Socket socket, int delayMillis) {
    try (socket) {
      Thread.sleep(delayMillis);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (true) {
        handle(socket, RespCodec.readCommand(input));
      }
    } catch (IOException | InterruptedException e) {
      return; // the router closed the connection, or this side did
    } finally {
      connections.remove(socket);
    }
  }

  private void handle(Socket socket, String[] words) throws IOException {
    switch (words[0]) {
      case "DO" -> execute(socket, words);
      case "PIN" -> load(socket, words);
      case "ECHO", "METER" ->
          replyAfter(socket, COMMAND_MILLIS, words[1], draining ? "ill" : "well", LOAD_REPORT, "");
      default -> {} // UNDO and UNPIN have no reply
    }
  }

  private void load(Socket socket, String[] words) {
    if (words[2].endsWith(QUERY)) {
      replyAfter(socket, COMMAND_MILLIS, words[1], "data", "count=1", "");
      return;
    }
    records.addLoad(new ReceivedLoad(recordName, System.nanoTime()));
    replyAfter(socket, COMMAND_MILLIS, words[1], draining ? "full" : "data", "count=1", "");
  }

  private void execute(Socket socket, String[] words) throws IOException {
    Matcher timeout = TIMEOUT.matcher(words[2]);
    long timeoutMillis = timeout.find() ? Long.parseLong(timeout.group(1)) : Long.MAX_VALUE;
    Misbehaviour how = misbehaviour;
    boolean rejects = how == Misbehaviour.REJECTS || draining;
    records.addAttempt(
        new ReceivedAttempt(words[1], recordName, System.nanoTime(), timeoutMillis, !rejects));
    if (rejects) {
      replyAfter(socket, 0, words[1], "full", "-", "");
    } else if (how == Misbehaviour.RESETS_CONNECTIONS && nextReplyIsAffected()) {
      socket.setSoLinger(true, 0);
      socket.close();
    } else {
      String body = words[1] + ":" + words[3];
      replyAfter(socket, WORK_MILLIS, words[1], "data", LOAD_REPORT, body);
    }
  }

  private boolean nextReplyIsAffected() {
    return replies.incrementAndGet() % AFFECTED_EVERY == 0;
  }

  private void replyAfter(Socket socket, int millis, String... parts) {
    if (misbehaviour != Misbehaviour.HANGS) {
      timers.schedule(() -> reply(socket, parts), millis, TimeUnit.MILLISECONDS);
    }
  }

  private void reply(Socket socket, String... parts) {
    byte[] reply = RespCodec.encode(parts);
    boolean affected = nextReplyIsAffected();
    try {
      OutputStream out = socket.getOutputStream();
      synchronized (socket) {
        boolean malformed = misbehaviour == Misbehaviour.MALFORMED_REPLIES && affected;
        out.write(malformed ? MALFORMED_REPLY : reply);
        if (misbehaviour == Misbehaviour.DUPLICATE_REPLIES && affected) {
          out.write(reply);
        }
        out.flush();
      }
    } catch (IOException e) {
      return; // the connection has ended
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeConnections();
  }
}
