package switchgap.server.platform;

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
import java.util.concurrent.CopyOnWriteArrayList;

/** A scripted server of the event stream on a plain socket. */
public final class EventStreamTestServer implements AutoCloseable {
  private static final int ACCEPT_BACKLOG = 50;
  private static final int CLOSE_TIMEOUT_MILLIS = 5000;
  private static final String LAST_EVENT_ID = "last-event-id:";
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

  private static final byte[] HEARTBEAT = ":\n\n".getBytes(StandardCharsets.US_ASCII);

  /** Handles the requests for the event stream. */
  public interface StreamHandler {
    /**
     * Handles a request for the event stream.
     *
     * @param connection number of the connection, counted from 0
     * @param lastEventId id of the last event that the client has received, or -1 if none
     * @param output stream for the body of the response
     * @return false to close the connection
     */
    boolean handle(int connection, long lastEventId, OutputStream output) throws IOException;
  }

  private final List<Long> requestedEventIds = new CopyOnWriteArrayList<>();
  private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
  private final List<Socket> streamingSockets = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;

  /** Starts a server on any free port. */
  public EventStreamTestServer(StreamHandler handler) throws IOException {
    this(0, handler);
  }

  /** Starts a server on the given port, or on any free port if it is 0. */
  public EventStreamTestServer(int port, StreamHandler handler) throws IOException {
    listener = new ServerSocket(port, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(() -> acceptConnections(handler));
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections(StreamHandler handler) {
    try {
      for (int connection = 0; ; connection++) {
        serve(listener.accept(), connection, handler);
      }
    } catch (IOException e) {
      return; // this server was closed
    }
  }

  private void serve(Socket socket, int connection, StreamHandler handler) throws IOException {
    openSockets.add(socket);
    try {
      long lastEventId = readLastEventId(socket);
      OutputStream output = socket.getOutputStream();
      output.write(RESPONSE_HEAD.getBytes(StandardCharsets.US_ASCII));
      // Must follow the head, as tests send events once this list has an entry.
      requestedEventIds.add(lastEventId);
      streamingSockets.add(socket);
      if (!handler.handle(connection, lastEventId, output)) {
        socket.close();
      }
    } catch (IOException e) {
      socket.close(); // the client closed the connection
    }
  }

  private static long readLastEventId(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    long lastEventId = -1;
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LAST_EVENT_ID)) {
        lastEventId = Long.parseLong(line.substring(LAST_EVENT_ID.length()).trim());
      }
      line = reader.readLine();
    }
    return lastEventId;
  }

  /**
   * The id of the last received event that the client stated in each request so far, or -1 if none.
   */
  public List<Long> requestedEventIds() {
    return requestedEventIds;
  }

  /** Whether a client has requested the stream, so that events can be sent to it. */
  public boolean hasClient() {
    return !requestedEventIds.isEmpty();
  }

  /** Writes an event to a connection's output and flushes it. */
  public static void sendEvent(OutputStream output, String event) throws IOException {
    output.write(("id: 0\ndata: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  /** Sends an event on the most recently opened connection. */
  public void sendEvent(String event) throws IOException {
    sendEvent(openSockets.get(openSockets.size() - 1).getOutputStream(), event);
  }

  /**
   * Sends one heartbeat, which confirms the endpoint list; returns true to keep the connection
   * open.
   */
  public static boolean sendHeartbeat(int connection, long lastEventId, OutputStream output)
      throws IOException {
    output.write(HEARTBEAT);
    return true;
  }

  /**
   * Sends a heartbeat on each connection that has requested the stream, as the protocol requires.
   */
  public void sendHeartbeats() throws IOException {
    for (Socket socket : streamingSockets) {
      socket.getOutputStream().write(HEARTBEAT);
    }
  }

  /**
   * Waits for the client to close the connection with this number, counted from 0; returns whether
   * it did.
   */
  public boolean awaitClientClose(int connection) throws IOException {
    openSockets.get(connection).setSoTimeout(CLOSE_TIMEOUT_MILLIS);
    return openSockets.get(connection).getInputStream().read() < 0;
  }

  /** Formats an event with changed endpoints, or with the complete list. */
  public static String endpointListEvent(long sequence, boolean isComplete, String... endpoints) {
    return "{\"n\":"
        + sequence
        + ",\"members\":{\"rev\":7,\"all\":"
        + isComplete
        + ",\"targets\":["
        + String.join(",", endpoints)
        + "]}}";
  }

  /** Formats one endpoint of an event. */
  public static String endpoint(String id, String address, String state, long bootMillis) {
    return "{\"uid\":\""
        + id
        + "\",\"endpoint\":\""
        + address
        + "\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":2,\"state\":\""
        + state
        + "\",\"capacity_hint\":4,\"boot_ms\":"
        + bootMillis
        + "}";
  }

  /** Formats an endpoint in state SERVING that was started long ago. */
  public static String servingEndpoint(String id, String address) {
    return endpoint(id, address, "SERVING", 0);
  }

  /** The address that clients connect to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }
}
