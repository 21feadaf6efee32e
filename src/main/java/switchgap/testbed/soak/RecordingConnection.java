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
 * A client's connection to a router. Records all requests sent on it and their outcomes. Not
 * thread-safe.
 */
final class RecordingConnection implements AutoCloseable {
  /** Longest timeout that clients use, even if the routers' settings allow a longer one. */
  static final int MAX_TIMEOUT_MILLIS = 1000;

  private static final int CONNECT_TIMEOUT_MILLIS = 3000;

  /** Time to wait for a response after the longest timeout; longer than any pause of a router. */
  private static final int RESPONSE_GRACE_MILLIS = 5000;

  private static final int MAX_PAUSE_WITHIN_MESSAGE_MILLIS = 300;
  private static final int FUNCTION_COUNT = 40;
  private static final String REQUEST_BODY = "x";

  private final ServeProcess router;
  private final SoakRecords records;
  private final ActiveFaults activeFaults;
  private final Random random;
  private final Socket socket = new Socket();
  private final DataInputStream input;
  private final OutputStream out;
  private final Map<Integer, ObservedRequest> requestsBySequenceId = new LinkedHashMap<>();
  private int lastSequenceId;
  private boolean closedByClient;

  /** Connects to a router at 127.0.0.1; fails after 3 s. */
  RecordingConnection(
      ServeProcess router, SoakRecords records, ActiveFaults activeFaults, Random random)
      throws IOException {
    this.router = router;
    this.records = records;
    this.activeFaults = activeFaults;
    this.random = random;
    socket.connect(new InetSocketAddress("127.0.0.1", router.port()), CONNECT_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    out = socket.getOutputStream();
  }

  /** Sends a request; while a fault is active, the message may be delayed or remain incomplete. */
  void send(ObservedRequest request) throws IOException, InterruptedException {
    int sequenceId = ++lastSequenceId;
    byte[] frame =
        BinaryThrift.submit(
            sequenceId, requestFields(request), REQUEST_BODY.getBytes(StandardCharsets.US_ASCII));
    if (activeFaults.isActive(SoakFaultType.CLIENT_HALF_MESSAGE) && random.nextInt(4) == 0) {
      int firstPartBytes = 1 + random.nextInt(frame.length - 1);
      out.write(Arrays.copyOf(frame, firstPartBytes));
      Thread.sleep(random.nextInt(MAX_PAUSE_WITHIN_MESSAGE_MILLIS));
      if (random.nextInt(4) == 0) {
        // The rest of the message is never sent.
        closeByClient();
        return;
      }
      frame = Arrays.copyOfRange(frame, firstPartBytes, frame.length);
    }
    out.write(frame);
    request.markSent(System.nanoTime());
    requestsBySequenceId.put(sequenceId, request);
    records.addRequest(request);
  }

  private Map<String, String> requestFields(ObservedRequest request) {
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
        String.format("%016x", random.nextInt(FUNCTION_COUNT)),
        "extras",
        "memory_mb:10;lanes:4");
  }

  /** Cancels all requests by revoke messages; the connection stays open. */
  void cancelAll() throws IOException {
    for (Map.Entry<Integer, ObservedRequest> entry : requestsBySequenceId.entrySet()) {
      out.write(BinaryThrift.revoke(++lastSequenceId, entry.getKey()));
      entry.getValue().markCancelled(System.nanoTime());
    }
  }

  /** Closes the connection, which cancels the requests in flight. */
  void closeByClient() throws IOException {
    closedByClient = true;
    socket.close();
    long nowNanos = System.nanoTime();
    requestsBySequenceId.values().forEach(request -> request.markCancelled(nowNanos));
  }

  boolean isClosedByClient() {
    return closedByClient;
  }

  /**
   * Reads responses until all requests have ended or no response arrives in time.
   *
   * @return the requests that were pending when the connection was lost
   */
  List<ObservedRequest> awaitResponses() {
    try {
      while (requestsBySequenceId.values().stream().anyMatch(ObservedRequest::isPending)) {
        socket.setSoTimeout(MAX_TIMEOUT_MILLIS + RESPONSE_GRACE_MILLIS);
        handleReply(BinaryThrift.readReply(input));
      }
    } catch (SocketTimeoutException e) {
      // The requests remain pending.
      return List.of();
    } catch (IOException e) {
      return markConnectionLost();
    }
    return List.of();
  }

  private void handleReply(BinaryThrift.RouterReply reply) {
    ObservedRequest request = requestsBySequenceId.get(reply.sequenceId());
    if (request == null) {
      records.addProcessFault("router " + router.index() + " replied to an unknown sequence id");
      return;
    }
    request.addResponse(
        requestOutcome(reply.kind()), bodyMatches(reply, request), System.nanoTime());
  }

  private static ObservedRequest.Outcome requestOutcome(BinaryThrift.ReplyKind kind) {
    return switch (kind) {
      case SERVED -> ObservedRequest.Outcome.SERVED;
      case REJECTED -> ObservedRequest.Outcome.REJECTED;
      case FAILED -> ObservedRequest.Outcome.FAILED;
      case HEARTBEAT ->
          throw new IllegalArgumentException("a heartbeat reply has no request outcome");
    };
  }

  /** Whether the body of a served request is the one that a worker produces for this request. */
  private static boolean bodyMatches(BinaryThrift.RouterReply reply, ObservedRequest request) {
    if (reply.kind() != BinaryThrift.ReplyKind.SERVED) {
      return true;
    }
    String body = new String(reply.body(), StandardCharsets.US_ASCII);
    return body.equals(request.id() + ":" + REQUEST_BODY);
  }

  /** Records that the connection was lost; returns the requests that were pending on it. */
  List<ObservedRequest> markConnectionLost() {
    long nowNanos = System.nanoTime();
    List<ObservedRequest> lostRequests =
        requestsBySequenceId.values().stream().filter(ObservedRequest::isPending).toList();
    lostRequests.forEach(request -> request.markConnectionLost(nowNanos));
    return lostRequests;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
