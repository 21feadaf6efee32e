package switchgap.server.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker on a plain socket that handles each request as a test says, and records what it
 * received.
 */
public final class HttpTestServer implements AutoCloseable {
  /** A request: its line, the id of its attempt, its body, and the number of its connection. */
  public record ReceivedRequest(String line, String run, String body, int connection) {}

  /** Responds to a request on the raw connection; false closes it. */
  public interface Behaviour {
    boolean answer(ReceivedRequest request, OutputStream out)
        throws IOException, InterruptedException;
  }

  public final List<ReceivedRequest> asked = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();
  private volatile Behaviour manner;

  public HttpTestServer(Behaviour manner) throws IOException {
    this(0, manner);
  }

  public HttpTestServer(int port, Behaviour manner) throws IOException {
    this.manner = manner;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new java.net.InetSocketAddress("127.0.0.1", port));
    Thread thread = new Thread(this::accept, "test-server-accept");
    thread.setDaemon(true);
    thread.start();
  }

  public int port() {
    return listener.getLocalPort();
  }

  public void manner(Behaviour next) {
    manner = next;
  }

  /** Inference requests received so far. */
  public long infers() {
    return asked.stream().filter(request -> request.line().contains("/infer")).count();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        int number = connections.incrementAndGet();
        Thread thread = new Thread(() -> serve(socket, number), "test-server-" + number);
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket, int number) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String line = line(in);
        if (line == null) {
          return;
        }
        int length = 0;
        String run = "";
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
          if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
            length = Integer.parseInt(header.substring(15).trim());
          }
          if (header.toLowerCase(Locale.ROOT).startsWith("x-request-id:")) {
            run = header.substring(13).trim();
          }
        }
        ReceivedRequest request =
            new ReceivedRequest(
                line, run, new String(in.readNBytes(length), StandardCharsets.UTF_8), number);
        asked.add(request);
        if (!manner.answer(request, socket.getOutputStream())) {
          return;
        }
        socket.getOutputStream().flush();
      }
    } catch (IOException | InterruptedException e) {
      // the router closed its side
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int character = in.read(); character != '\n'; character = in.read()) {
      if (character < 0) {
        return null;
      }
      if (character != '\r') {
        text.append((char) character);
      }
    }
    return text.toString();
  }

  /** A response as a correct worker writes it. */
  public static byte[] ok(ReceivedRequest request, String body) {
    return http(200, "X-Request-Id: " + request.run() + "\r\n", body);
  }

  public static byte[] http(int status, String headers, String body) {
    return ("HTTP/1.1 "
            + status
            + " x\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body)
        .getBytes(StandardCharsets.UTF_8);
  }

  public static boolean well(ReceivedRequest request, OutputStream out) throws IOException {
    out.write(ok(request, "{\"echo\":" + (request.body().isEmpty() ? "0" : request.body()) + "}"));
    return true;
  }

  public static boolean silent(ReceivedRequest request, OutputStream out)
      throws InterruptedException {
    Thread.sleep(20_000);
    return false;
  }

  /** Connections that are open on the router's side too. */
  public long connected() {
    return open.stream().filter(socket -> !socket.isClosed()).count();
  }

  /** Closes all connections and goes on listening. */
  public void hangUp() throws IOException {
    for (Socket socket : open) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
