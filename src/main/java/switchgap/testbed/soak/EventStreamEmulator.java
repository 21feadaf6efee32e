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
 * Emulates the event stream at one address. It sends the endpoint list events, which are numbered
 * and shared by all addresses, as server-sent events, and heartbeats. Thread-safe; each connection
 * has a thread.
 */
final class EventStreamEmulator implements AutoCloseable {
  private static final int ACCEPT_BACKLOG = 200;
  private static final int ANY_PORT = 0;
  private static final long POLL_PERIOD_MILLIS = 20;
  private static final long HEARTBEAT_PERIOD_NANOS = 1_000_000_000L;
  private static final String LAST_EVENT_ID_HEADER = "last-event-id:";
  private static final byte[] RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);
  private static final byte[] HEARTBEAT = ":\n\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] INCOMPLETE_EVENT =
      "id: 9\ndata: {\"n\":".getBytes(StandardCharsets.US_ASCII);

  private static final byte[] UNAVAILABLE_RESPONSE =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);
  private static final byte[] INVALID_EVENT =
      "id: 9\ndata: {\"n\":\"none\"}\n\n:\n\n".getBytes(StandardCharsets.US_ASCII);

  /** How the event stream fails. */
  enum Failure {
    /** The event stream works. */
    NONE,
    /** Connections stay open and deliver no data. */
    SILENT,
    /** Open connections end, and new ones get no response. */
    NO_RESPONSE,
    /** Open connections end, and new ones are refused. */
    REFUSED,
    /** Open connections end, and new requests get the HTTP status 503. */
    UNAVAILABLE,
    /** Open connections end, and new ones deliver an invalid event and a heartbeat. */
    INVALID;

    /** Whether open connections end; the outage is {@link OutageCause#EVENT_STREAM_BROKEN} then. */
    boolean endsConnections() {
      return this != NONE && this != SILENT;
    }
  }

  private final List<String> events;
  private final int port;
  private volatile ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean silent;
  private volatile Failure failure = Failure.NONE;

  /**
   * Starts the event stream at a free port of the loopback address.
   *
   * @param events the events as JSON, a live view that may grow; the first has the number 1
   */
  EventStreamEmulator(List<String> events) throws IOException {
    this.events = events;
    listen(ANY_PORT);
    port = listener.getLocalPort();
  }

  private void listen(int port) throws IOException {
    ServerSocket newListener = new ServerSocket();
    newListener.setReuseAddress(true);
    newListener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ACCEPT_BACKLOG);
    listener = newListener;
    DaemonThreads.start("feed", () -> acceptAll(newListener));
  }

  /** Makes the event stream fail until {@link #recover}. */
  void fail(Failure newFailure) throws IOException {
    failure = newFailure;
    silent = newFailure == Failure.SILENT;
    if (newFailure == Failure.REFUSED) {
      listener.close();
    }
    if (newFailure.endsConnections()) {
      cutConnections();
    }
  }

  /** Ends the failure; the address stays the same. */
  void recover() throws IOException {
    Failure endedFailure = failure;
    failure = Failure.NONE;
    silent = false;
    if (endedFailure == Failure.REFUSED) {
      listen(port);
    }
    for (Socket socket : connections) {
      if (endedFailure.endsConnections()) {
        // The connection was opened during the failure and carries no valid response.
        socket.close();
      }
    }
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Stops or resumes sending on open connections, which stay open. */
  void setSilent(boolean isSilent) {
    silent = isSilent;
  }

  /** Closes all connections in the middle of an event. */
  void cutConnections() {
    connections.forEach(EventStreamEmulator::cut);
  }

  private static void cut(Socket socket) {
    try {
      socket.getOutputStream().write(INCOMPLETE_EVENT);
      socket.close();
    } catch (IOException e) {
      // The connection had already ended.
      return;
    }
  }

  private void acceptAll(ServerSocket openListener) {
    try {
      while (true) {
        Socket socket = openListener.accept();
        connections.add(socket);
        DaemonThreads.start("feed", () -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      int lastSentId = readLastEventId(socket);
      OutputStream out = socket.getOutputStream();
      if (!beginResponse(out)) {
        return;
      }
      long nextHeartbeatNanos = System.nanoTime();
      while (connections.contains(socket) && !socket.isClosed()) {
        if (!silent && failure == Failure.NONE) {
          lastSentId = sendEventsAfter(lastSentId, out);
          if (System.nanoTime() - nextHeartbeatNanos >= 0) {
            out.write(HEARTBEAT);
            nextHeartbeatNanos += HEARTBEAT_PERIOD_NANOS;
          }
        }
        Thread.sleep(POLL_PERIOD_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      // The router closed the connection.
      return;
    } finally {
      connections.remove(socket);
    }
  }

  /** Returns whether the connection stays open after the response head. */
  private boolean beginResponse(OutputStream out) throws IOException {
    switch (failure) {
      case NO_RESPONSE -> {}
      case UNAVAILABLE -> out.write(UNAVAILABLE_RESPONSE);
      case INVALID -> {
        out.write(RESPONSE_HEAD);
        out.write(INVALID_EVENT);
      }
      default -> out.write(RESPONSE_HEAD);
    }
    return failure != Failure.UNAVAILABLE;
  }

  private int sendEventsAfter(int lastSent, OutputStream out) throws IOException {
    int sent = lastSent;
    for (; sent < events.size(); sent++) {
      String event = "id: " + (sent + 1) + "\ndata: " + events.get(sent) + "\n\n";
      out.write(event.getBytes(StandardCharsets.UTF_8));
    }
    return sent;
  }

  private static int readLastEventId(Socket socket) throws IOException {
    BufferedReader input =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    int lastEventId = 0;
    for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LAST_EVENT_ID_HEADER)) {
        lastEventId = Integer.parseInt(line.substring(LAST_EVENT_ID_HEADER.length()).trim());
      }
    }
    return lastEventId;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
