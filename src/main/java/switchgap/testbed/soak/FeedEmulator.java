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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One address of the event stream: numbered events from a log that all addresses share, and
 * heartbeats.
 */
final class FeedEmulator implements AutoCloseable {
  private static final int BACKLOG = 200;
  private static final long POLL_MILLIS = 20;
  private static final long HEARTBEAT_NANOS = 1_000_000_000L;
  private static final String LAST_EVENT_HEADER = "last-event-id:";

  private final List<String> log;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean silent;

  /** A feed of a log whose first event has the number 1. */
  FeedEmulator(List<String> log) throws IOException {
    this.log = log;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    WorkerEmulator.start("feed", this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Tells nothing for a while, on connections that stay open. */
  void silence(boolean quiet) {
    silent = quiet;
  }

  /** Ends all connections, in the middle of an event where one is being told. */
  void cut() {
    connections.forEach(
        socket -> {
          try {
            socket
                .getOutputStream()
                .write("id: 9\ndata: {\"n\":".getBytes(StandardCharsets.US_ASCII));
            socket.close();
          } catch (IOException e) {
            return; // it had ended
          }
        });
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        connections.add(socket);
        WorkerEmulator.start("feed", () -> serve(socket));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      int told = readLastEvent(socket);
      OutputStream out = socket.getOutputStream();
      out.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
              .getBytes(StandardCharsets.US_ASCII));
      long heartbeatAt = System.nanoTime();
      while (connections.contains(socket) && !socket.isClosed()) {
        if (!silent) {
          for (; told < log.size(); told++) {
            out.write(
                ("id: " + (told + 1) + "\ndata: " + log.get(told) + "\n\n")
                    .getBytes(StandardCharsets.UTF_8));
          }
          if (System.nanoTime() - heartbeatAt >= 0) {
            out.write(":\n\n".getBytes(StandardCharsets.US_ASCII));
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

  private static int readLastEvent(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    int last = 0;
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith(LAST_EVENT_HEADER)) {
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
