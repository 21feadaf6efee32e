package switchgap.testbed.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
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
  private static final long POLL_MILLIS = 20;
  private static final long HEARTBEAT_NANOS = 1_000_000_000L;
  private static final String LAST_EVENT_HEADER = "last-event-id:";
  private static final byte[] HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);
  private static final byte[] HEARTBEAT = ":\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] INCOMPLETE_EVENT =
      "id: 9\ndata: {\"n\":".getBytes(StandardCharsets.US_ASCII);

  private final List<String> log;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean silent;

  /**
   * Starts an address of the stream at a free port of the loopback address.
   *
   * @param log the events as JSON; it may grow meanwhile, and its first event has the number 1
   */
  EventStreamEmulator(List<String> log) throws IOException {
    this.log = log;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    DaemonThreads.start("feed", this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
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

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = listener.accept();
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
      out.write(HEAD);
      long heartbeatAt = System.nanoTime();
      while (connections.contains(socket) && !socket.isClosed()) {
        if (!silent) {
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
