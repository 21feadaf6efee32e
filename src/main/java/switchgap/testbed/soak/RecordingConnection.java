package switchgap.testbed.soak;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A client's connection to a router; records all requests that are sent on it and how they end. Not
 * thread-safe.
 */
final class RecordingConnection implements AutoCloseable {
  /** Longest timeout of a request. */
  static final int MAX_TIMEOUT_MILLIS = 1000;

  private static final int CONNECT_TIMEOUT_MILLIS = 3000;

  /** How long a response is awaited past the timeout: longer than a router is paused. */
  private static final int PATIENCE_MILLIS = 5000;

  private static final int MAX_MESSAGE_PAUSE_MILLIS = 300;
  private static final int FUNCTIONS = 40;
  private static final String BODY = "x";

  private final ServeProcess router;
  private final SoakRecords records;
  private final ActiveFaults active;
  private final Random random;
  private final Socket socket = new Socket();
  private final DataInputStream input;
  private final OutputStream out;
  private final Map<Integer, ObservedRequest> requests = new LinkedHashMap<>();
  private int lastSequenceId;
  private boolean closedByClient;

  /** Connects to a router. */
  RecordingConnection(ServeProcess router, SoakRecords records, ActiveFaults active, Random random)
      throws IOException {
    this.router = router;
    this.records = records;
    this.active = active;
    this.random = random;
    socket.connect(new InetSocketAddress("127.0.0.1", router.port()), CONNECT_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    out = socket.getOutputStream();
  }

  /** Sends a request; under a fault its message may be delayed or never completed. */
  void send(ObservedRequest request) throws IOException, InterruptedException {
    int sequenceId = ++lastSequenceId;
    byte[] frame =
        BinaryThrift.submit(sequenceId, fields(request), BODY.getBytes(StandardCharsets.US_ASCII));
    if (active.isOn(SoakFaultType.CLIENT_HALF_MESSAGE) && random.nextInt(4) == 0) {
      int half = 1 + random.nextInt(frame.length - 1);
      out.write(Arrays.copyOf(frame, half));
      Thread.sleep(random.nextInt(MAX_MESSAGE_PAUSE_MILLIS));
      if (random.nextInt(4) == 0) {
        closeByClient(); // the rest is never sent
        return;
      }
      frame = Arrays.copyOfRange(frame, half, frame.length);
    }
    out.write(frame);
    request.sentAt(System.nanoTime());
    requests.put(sequenceId, request);
    records.addRequest(request);
  }

  private Map<String, String> fields(ObservedRequest request) {
    return Map.of(
        "service",
        request.isIdempotent() ? "again" : "once",
        "ref",
        request.id(),
        "allow",
        String.valueOf(request.timeoutMillis()),
        "project",
        "shop",
        "lookup",
        String.format("%016x", random.nextInt(FUNCTIONS)),
        "extras",
        "memory_mb:10;lanes:4");
  }

  /** Cancels all requests by the protocol; the connection stays open. */
  void revokeAll() throws IOException {
    for (Map.Entry<Integer, ObservedRequest> entry : requests.entrySet()) {
      out.write(BinaryThrift.revoke(++lastSequenceId, entry.getKey()));
      entry.getValue().cancelledAt(System.nanoTime());
    }
  }

  /** Closes the connection with all requests that are in flight. */
  void closeByClient() throws IOException {
    closedByClient = true;
    socket.close();
    long now = System.nanoTime();
    requests.values().forEach(request -> request.cancelledAt(now));
  }

  boolean isClosedByClient() {
    return closedByClient;
  }

  /**
   * Reads until all requests have ended, or none ends for longer than the client's patience.
   *
   * @return the requests whose connection was lost
   */
  List<ObservedRequest> awaitResponses() {
    try {
      while (requests.values().stream().anyMatch(ObservedRequest::isPending)) {
        socket.setSoTimeout(MAX_TIMEOUT_MILLIS + PATIENCE_MILLIS);
        replied(BinaryThrift.readReply(input));
      }
    } catch (SocketTimeoutException e) {
      return List.of(); // they stay pending
    } catch (IOException e) {
      return connectionLost();
    }
    return List.of();
  }

  private void replied(BinaryThrift.RouterReply reply) {
    ObservedRequest request = requests.get(reply.sequenceId());
    if (request == null) {
      records.addProcessFault("router " + router.index() + " replied to a number that is not open");
      return;
    }
    request.respondedAt(outcome(reply.kind()), matches(reply, request), System.nanoTime());
  }

  private static ObservedRequest.Outcome outcome(BinaryThrift.ReplyKind kind) {
    return switch (kind) {
      case SERVED -> ObservedRequest.Outcome.SERVED;
      case REJECTED -> ObservedRequest.Outcome.REJECTED;
      case FAILED -> ObservedRequest.Outcome.FAILED;
      case HEARTBEAT -> throw new IllegalArgumentException("a heartbeat is no response");
    };
  }

  /** Whether the body of a served request is the one that a worker produces for it. */
  private static boolean matches(BinaryThrift.RouterReply reply, ObservedRequest request) {
    if (reply.kind() != BinaryThrift.ReplyKind.SERVED) {
      return true;
    }
    String body = new String(reply.body(), StandardCharsets.US_ASCII);
    return body.equals(request.id() + ":" + BODY);
  }

  /** The connection has ended; returns the requests that were pending on it. */
  List<ObservedRequest> connectionLost() {
    long now = System.nanoTime();
    List<ObservedRequest> lost =
        requests.values().stream().filter(ObservedRequest::isPending).toList();
    lost.forEach(request -> request.connectionLostAt(now));
    return lost;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
