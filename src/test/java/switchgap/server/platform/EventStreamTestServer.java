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
import java.util.concurrent.CopyOnWriteArrayList;

/** A scripted control feed on a plain socket. */
public final class EventStreamTestServer implements AutoCloseable {
  /** Delivers on a connection, counted from 0; false closes it. */
  public interface StreamHandler {
    boolean handle(int connection, long last, OutputStream out) throws IOException;
  }

  public final List<Long> requestedEventIds = new CopyOnWriteArrayList<>();
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;

  public EventStreamTestServer(StreamHandler handler) throws IOException {
    this(0, handler);
  }

  public EventStreamTestServer(int port, StreamHandler handler) throws IOException {
    listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              try {
                for (int connection = 0; ; connection++) {
                  serve(listener.accept(), connection, handler);
                }
              } catch (IOException e) {
                return; // the server was closed
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket socket, int connection, StreamHandler handler) throws IOException {
    open.add(socket);
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      long last = -1;
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        if (line.toLowerCase(java.util.Locale.ROOT).startsWith("last-event-id:")) {
          last = Long.parseLong(line.substring(14).trim());
        }
      }
      requestedEventIds.add(last);
      OutputStream out = socket.getOutputStream();
      out.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
              .getBytes(StandardCharsets.US_ASCII));
      if (!handler.handle(connection, last, out)) {
        socket.close();
      }
    } catch (IOException e) {
      socket.close(); // the client closed the connection
    }
  }

  public static void sendEvent(OutputStream out, String event) throws IOException {
    out.write(("id: 0\ndata: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** To the connection opened last. */
  public void sendEvent(String event) throws IOException {
    sendEvent(open.get(open.size() - 1).getOutputStream(), event);
  }

  /** Whether the client has closed a connection, counted from 0; waits for that. */
  public boolean awaitClientClose(int connection) throws IOException {
    open.get(connection).setSoTimeout(5000);
    return open.get(connection).getInputStream().read() < 0;
  }

  public static String endpointListEvent(long sequence, boolean all, String... workers) {
    return "{\"n\":"
        + sequence
        + ",\"members\":{\"rev\":7,\"all\":"
        + all
        + ",\"targets\":["
        + String.join(",", workers)
        + "]}}";
  }

  public static String endpoint(String id, String at, String state, long boot) {
    return "{\"uid\":\""
        + id
        + "\",\"endpoint\":\""
        + at
        + "\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":2,\"state\":\""
        + state
        + "\",\"capacity_hint\":4,\"boot_ms\":"
        + boot
        + "}";
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
