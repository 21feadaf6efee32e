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
 * Emulates a worker: receives RESP commands, replies after a fixed execution time, and misbehaves
 * on demand. Thread-safe; each connection has a thread.
 */
final class WorkerEmulator implements AutoCloseable {
  /** Ways in which a worker misbehaves. */
  enum Misbehaviour {
    NONE,
    /** The worker reads commands but never replies. */
    HANGS,
    /** Some replies are malformed. */
    MALFORMED_REPLIES,
    /** Some replies are sent twice. */
    DUPLICATE_REPLIES,
    /** Some connections are reset instead of a reply. */
    RESETS_CONNECTIONS,
    /** The worker rejects all requests. */
    REJECTS
  }

  /** Port number that lets the system choose a free port. */
  static final int ANY_PORT = 0;

  private static final Pattern TIMEOUT_ARGUMENT = Pattern.compile("max=(\\d+)");
  private static final int EXECUTION_MILLIS = 20;
  private static final int COMMAND_LATENCY_MILLIS = 1;
  private static final int ACCEPT_BACKLOG = 200;

  /** One in this many replies is affected by a misbehaviour that affects some replies. */
  private static final int REPLIES_PER_AFFECTED_REPLY = 5;

  private static final String LOAD_REPORT = "report=load_share:0.1;concurrent:1";
  private static final byte[] MALFORMED_REPLY =
      "*4\r\n$-7\r\nnoise\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /** Ends the argument of a PIN command that asks for the number of copies and loads none. */
  private static final String COPY_COUNT_QUERY = "count=0";

  private final String name;
  private final String recordName;
  private final SoakRecords records;
  private final ScheduledExecutorService timers;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger replyCount = new AtomicInteger();
  private volatile Misbehaviour misbehaviour = Misbehaviour.NONE;
  private volatile int acceptDelayMillis;
  private volatile boolean draining;

  /**
   * Starts a worker at a free port of the loopback address; its name in the records is the same.
   */
  WorkerEmulator(String name, SoakRecords records, ScheduledExecutorService timers)
      throws IOException {
    this(name, name, ANY_PORT, records, timers);
  }

  /**
   * Starts a worker at a port of the loopback address.
   *
   * @param name name in the endpoint list
   * @param recordName name in the records, which differs for each process of the same worker
   * @param port port to listen at, or {@link #ANY_PORT}
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
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ACCEPT_BACKLOG);
    DaemonThreads.start("worker-" + name, this::acceptAll);
  }

  String name() {
    return name;
  }

  /** Name in the records, unique for each process. */
  String recordName() {
    return recordName;
  }

  int port() {
    return listener.getLocalPort();
  }

  /**
   * Starts to drain as workers of the hosting platform do: load probes fail, new requests and load
   * commands are rejected, and requests in progress continue.
   */
  void drain() {
    draining = true;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void setMisbehaviour(Misbehaviour newMisbehaviour) {
    misbehaviour = newMisbehaviour;
  }

  /** Sets the delay after which new connections are served. */
  void delayAccepts(int delayMillis) {
    acceptDelayMillis = delayMillis;
  }

  /** Closes all connections; requests in flight get no reply. */
  void closeConnections() {
    connections.forEach(WorkerEmulator::closeQuietly);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is already closed.
      return;
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
      // The listener was closed.
      return;
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
      // The router or this worker closed the connection.
      return;
    } finally {
      connections.remove(socket);
    }
  }

  private void handle(Socket socket, String[] words) throws IOException {
    switch (words[0]) {
      case "DO" -> execute(socket, words);
      case "PIN" -> load(socket, words);
      case "ECHO", "METER" ->
          replyAfter(
              socket, COMMAND_LATENCY_MILLIS, words[1], draining ? "ill" : "well", LOAD_REPORT, "");
      // UNDO and UNPIN have no reply.
      default -> {}
    }
  }

  private void load(Socket socket, String[] words) {
    if (words[2].endsWith(COPY_COUNT_QUERY)) {
      replyAfter(socket, COMMAND_LATENCY_MILLIS, words[1], "data", "count=1", "");
      return;
    }
    records.addLoad(new ReceivedLoad(recordName, System.nanoTime()));
    replyAfter(socket, COMMAND_LATENCY_MILLIS, words[1], draining ? "full" : "data", "count=1", "");
  }

  private void execute(Socket socket, String[] words) throws IOException {
    Matcher timeoutMatcher = TIMEOUT_ARGUMENT.matcher(words[2]);
    long timeoutMillis =
        timeoutMatcher.find() ? Long.parseLong(timeoutMatcher.group(1)) : Long.MAX_VALUE;
    Misbehaviour currentMisbehaviour = misbehaviour;
    boolean rejects = currentMisbehaviour == Misbehaviour.REJECTS || draining;
    records.addAttempt(
        new ReceivedAttempt(words[1], recordName, System.nanoTime(), timeoutMillis, !rejects));
    if (rejects) {
      replyAfter(socket, 0, words[1], "full", "-", "");
    } else if (currentMisbehaviour == Misbehaviour.RESETS_CONNECTIONS && nextReplyIsAffected()) {
      socket.setSoLinger(true, 0);
      socket.close();
    } else {
      String body = words[1] + ":" + words[3];
      replyAfter(socket, EXECUTION_MILLIS, words[1], "data", LOAD_REPORT, body);
    }
  }

  private boolean nextReplyIsAffected() {
    return replyCount.incrementAndGet() % REPLIES_PER_AFFECTED_REPLY == 0;
  }

  private void replyAfter(Socket socket, int delayMillis, String... parts) {
    if (misbehaviour != Misbehaviour.HANGS) {
      timers.schedule(() -> reply(socket, parts), delayMillis, TimeUnit.MILLISECONDS);
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
      // The connection has ended.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeConnections();
  }
}
