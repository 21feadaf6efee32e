package switchgap.server.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker on a plain socket that records the requests it receives and responds as a test defines.
 * A thread for each connection serves one request after the other.
 */
public final class HttpTestServer implements AutoCloseable {
  private static final String CONTENT_LENGTH = "content-length:";
  private static final String REQUEST_ID = "x-request-id:";
  private static final long SILENCE_MILLIS = 20_000;

  /**
   * A received request.
   *
   * @param line the request line
   * @param attemptId id of the attempt, empty if the request has none
   * @param body request body, decoded as UTF-8
   * @param connection number of the connection, counted from 1
   */
  public record ReceivedRequest(String line, String attemptId, String body, int connection) {
    /** Whether this is an inference request, not a load command or a probe. */
    public boolean isInference() {
      return line.contains("/infer");
    }
  }

  /** Defines the response to each request; may be called on several threads at once. */
  public interface Responder {
    /** Writes the response to the raw connection; returns false to close the connection. */
    boolean respond(ReceivedRequest request, OutputStream out)
        throws IOException, InterruptedException;
  }

  private final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final AtomicInteger connectionCount = new AtomicInteger();
  private volatile Responder responder;

  /** Starts a server on a free port of the loopback address. */
  public HttpTestServer(Responder responder) throws IOException {
    this.responder = responder;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress("127.0.0.1", 0));
    startDaemon("test-server-accept", this::acceptConnections);
  }

  /** The port on which the server listens. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Replaces the responder for requests that arrive later. */
  public void setResponder(Responder newResponder) {
    responder = newResponder;
  }

  /** Returns an unmodifiable live view of all received requests, in order of arrival. */
  public List<ReceivedRequest> receivedRequests() {
    return Collections.unmodifiableList(received);
  }

  /** Number of inference requests received so far. */
  public long inferenceRequestCount() {
    return received.stream().filter(ReceivedRequest::isInference).count();
  }

  /** Number of connections that neither side has closed. */
  public long openConnections() {
    return connections.stream().filter(socket -> !socket.isClosed()).count();
  }

  /** Closes all connections; the server continues to accept new ones. */
  public void closeConnections() throws IOException {
    for (Socket socket : connections) {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeConnections();
  }

  private static void startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        int number = connectionCount.incrementAndGet();
        startDaemon("test-server-" + number, () -> serve(socket, number));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      ReceivedRequest request = readRequest(input, connection);
      while (request != null) {
        received.add(request);
        if (!responder.respond(request, socket.getOutputStream())) {
          return;
        }
        socket.getOutputStream().flush();
        request = readRequest(input, connection);
      }
    } catch (IOException | InterruptedException e) {
      // The router closed the connection.
    }
  }

  /** Reads one request; returns null at the end of the connection. */
  private static ReceivedRequest readRequest(InputStream input, int connection) throws IOException {
    String line = readLine(input);
    if (line == null) {
      return null;
    }
    int length = 0;
    String attemptId = "";
    String header = readLine(input);
    while (header != null && !header.isEmpty()) {
      String name = header.toLowerCase(Locale.ROOT);
      if (name.startsWith(CONTENT_LENGTH)) {
        length = Integer.parseInt(header.substring(CONTENT_LENGTH.length()).trim());
      } else if (name.startsWith(REQUEST_ID)) {
        attemptId = header.substring(REQUEST_ID.length()).trim();
      }
      header = readLine(input);
    }
    String body = new String(input.readNBytes(length), StandardCharsets.UTF_8);
    return new ReceivedRequest(line, attemptId, body, connection);
  }

  private static String readLine(InputStream input) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int character = input.read(); character != '\n'; character = input.read()) {
      if (character < 0) {
        return null;
      }
      if (character != '\r') {
        text.append((char) character);
      }
    }
    return text.toString();
  }

  /** Returns the bytes of a response; each header line in {@code headers} must end with CR LF. */
  public static byte[] response(int status, String headers, String body) {
    String head =
        "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n".formatted(status, headers, body.length());
    return (head + body).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the bytes of a successful response that echoes the attempt's id, as a correct worker
   * does.
   */
  public static byte[] okResponse(ReceivedRequest request, String body) {
    return response(200, "X-Request-Id: " + request.attemptId() + "\r\n", body);
  }

  /** Responds like a correct worker, immediately and with the body that it received. */
  public static boolean echo(ReceivedRequest request, OutputStream out) throws IOException {
    String content = request.body().isEmpty() ? "0" : request.body();
    out.write(okResponse(request, "{\"echo\":" + content + "}"));
    return true;
  }

  /** Sends no response for longer than any test runs. */
  public static boolean silent(ReceivedRequest request, OutputStream out)
      throws InterruptedException {
    Thread.sleep(SILENCE_MILLIS);
    return false;
  }
}
