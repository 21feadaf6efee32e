package switchgap.testbed.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One address of the event stream: server-sent events, numbered, from a log that all addresses
 * share, and heartbeats. Thread-safe; each connection has a thread.
 */
final class EventStreamEmulator implements AutoCloseable {
  private static final int BACKLOG = 200;
  private static final int ANY_PORT = 0;
  private static final long POLL_MILLIS = 20;
  private static final long HEARTBEAT_NANOS = 1_000_000_000L;
  private static final String LAST_EVENT_HEADER = "last-event-id:";
  private static final byte[] HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);
  private static final byte[] HEARTBEAT = ":\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] INCOMPLETE_EVENT =
      "id: 9\ndata: {\"n\":".getBytes(StandardCharsets.US_ASCII);

  private static final byte[] UNAVAILABLE =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);
  private static final byte[] INVALID_EVENT =
      "id: 9\ndata: {\"n\":\"none\"}\n\n:\n\n".getBytes(StandardCharsets.US_ASCII);

  /** How the stream is out of reach. */
  enum Failure {
    /** It is not. */
    NONE,
    /** Connections stay open and deliver nothing. */
    SILENT,
    /** Connections end, and new ones get no response. */
    NO_RESPONSE,
    /** Connections end, and new ones are refused. */
    REFUSED,
    /** Connections end, and requests get an error. */
    UNAVAILABLE,
    /** Connections end, and new ones deliver an invalid event and heartbeats. */
    INVALID;

    /** Whether open connections end, and what the stream has counts as notified after a break. */
    boolean isBreak() {
      return this != NONE && this != SILENT;
    }
  }

  private final List<String> log;
  private final int port;
  private volatile ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean silent;
  private volatile Failure failure = Failure.NONE;

  /**
   * Starts an address of the stream at a free port of the loopback address.
   *
   * @param log the events as JSON; it may grow meanwhile, and its first event has the number 1
   */
  EventStreamEmulator(List<String> log) throws IOException {
    this.log = log;
    listen(ANY_PORT);
    port = listener.getLocalPort();
  }

  private void listen(int port) throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
    listener = opened;
    DaemonThreads.start("feed", () -> acceptAll(opened));
  }

  /** Fails in this way until {@link #recover}. */
  void fail(Failure how) throws IOException {
    failure = how;
    silent = how == Failure.SILENT;
    if (how == Failure.REFUSED) {
      listener.close();
    }
    if (how.isBreak()) {
      cutConnections();
    }
  }

  /** Works again, at the same address. */
  void recover() throws IOException {
    Failure before = failure;
    failure = Failure.NONE;
    silent = false;
    if (before == Failure.REFUSED) {
      listen(port);
    }
    for (Socket socket : connections) {
      if (before.isBreak()) {
        socket.close(); // it carries no response
      }
    }
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Sends nothing on open connections, or goes on. */
  void setSilent(boolean isSilent) {
    silent = isSilent;
  }

  /** Ends all connections in the middle of an event. */
  void cutConnections() {
    connections.forEach(EventStreamEmulator::cut);
  }

  private static void cut(Socket socket) {
    try {
      socket.getOutputStream().write(INCOMPLETE_EVENT);
      socket.close();
    } catch (IOException e) {
      return; // it had ended
    }
  }

  private void acceptAll(ServerSocket opened) {
    try {
      while (true) {
        Socket socket = opened.accept();
        connections.add(socket);
        DaemonThreads.start("feed", () -> serve(socket));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      int sent = readLastEventId(socket);
      OutputStream out = socket.getOutputStream();
      if (!beginResponse(out)) {
        return;
      }
      long heartbeatAt = System.nanoTime();
      while (connections.contains(socket) && !socket.isClosed()) {
        if (!silent && failure == Failure.NONE) {
          sent = sendEventsAfter(sent, out);
          if (System.nanoTime() - heartbeatAt >= 0) {
            out.write(HEARTBEAT);
            heartbeatAt += HEARTBEAT_NANOS;
          }
        }
        Thread.sleep(POLL_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      return; // the router closed the connection
    } finally {
      connections.remove(socket);
    }
  }

  /** Returns whether the connection is to stay open. */
  private boolean beginResponse(OutputStream out) throws IOException {
    switch (failure) {
      case NO_RESPONSE -> {}
      case UNAVAILABLE -> out.write(UNAVAILABLE);
      case INVALID -> {
        out.write(HEAD);
        out.write(INVALID_EVENT);
      }
      default -> out.write(HEAD);
    }
    return failure != Failure.UNAVAILABLE;
  }

  private int sendEventsAfter(int lastSent, OutputStream out) throws IOException {
    int sent = lastSent;
    for (; sent < log.size(); sent++) {
      String event = "id: " + (sent + 1) + "\ndata: " + log.get(sent) + "\n\n";
      out.write(event.getBytes(StandardCharsets.UTF_8));
    }
    return sent;
  }

  private static int readLastEventId(Socket socket) throws IOException {
    BufferedReader input =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    int last = 0;
    for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LAST_EVENT_HEADER)) {
        last = Integer.parseInt(line.substring(LAST_EVENT_HEADER.length()).trim());
      }
    }
    return last;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
