package switchgap.testbed.soak;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client of one router: a connection after the other, some requests on each, in the manner of the
 * moment.
 */
final class ClientEmulator implements Runnable {
  private static final int MAX_BATCHES = 5;
  private static final int[] BATCH_SIZES = {1, 1, 1, 3};
  private static final int MIN_ALLOW_MILLIS = 250;
  private static final int MAX_ALLOW_MILLIS = 1000;
  private static final int FUNCTIONS = 40;
  private static final int CONNECT_TIMEOUT_MILLIS = 3000;

  /** Past its time a request is waited for this long, and pauses of the router besides. */
  private static final int PATIENCE_MILLIS = 5000;

  private static final int MAX_THINK_MILLIS = 40;
  private static final int MAX_LEAVE_MILLIS = 30;
  private static final int HALF_MESSAGE_PAUSE_MILLIS = 300;
  private static final long ROTATION_POLL_MILLIS = 5;
  private static final AtomicLong LAST_ID = new AtomicLong();

  private final RouterProcess router;
  private final SoakRecords records;
  private final ActiveFaults active;
  private final Random random;
  private volatile boolean stopped;

  /** A client; {@code active} are the faults of the moment, of which it plays those of clients. */
  ClientEmulator(RouterProcess router, SoakRecords records, ActiveFaults active, long seed) {
    this.router = router;
    this.records = records;
    this.active = active;
    this.random = new Random(seed);
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        if (router.inRotation) {
          useConnection();
        } else {
          Thread.sleep(ROTATION_POLL_MILLIS);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void useConnection() throws InterruptedException {
    List<ClientRequest> cutOff = new ArrayList<>();
    try (Connection connection = new Connection()) {
      int batches = 1 + random.nextInt(MAX_BATCHES);
      for (int batch = 0; batch < batches && router.inRotation && !stopped; batch++) {
        cutOff = useOnce(connection, batch == 0);
        if (!cutOff.isEmpty() || connection.isLeft) {
          break;
        }
        Thread.sleep(random.nextInt(MAX_THINK_MILLIS));
      }
    } catch (IOException e) {
      Thread.sleep(ROTATION_POLL_MILLIS); // it does not accept, or the router has gone
    }
    for (ClientRequest request : cutOff) {
      if (!request.firstOnConnection && router.life == request.life) {
        sendAgain(request);
      }
    }
  }

  private List<ClientRequest> useOnce(Connection connection, boolean first)
      throws IOException, InterruptedException {
    int size = BATCH_SIZES[random.nextInt(BATCH_SIZES.length)];
    for (int i = 0; i < size; i++) {
      connection.send(newRequest(first));
    }
    leaveIfSo(connection);
    return connection.readReplies();
  }

  private ClientRequest newRequest(boolean first) {
    String id = String.format("%016x", LAST_ID.incrementAndGet());
    int allow = MIN_ALLOW_MILLIS + random.nextInt(MAX_ALLOW_MILLIS - MIN_ALLOW_MILLIS);
    return new ClientRequest(id, router.index, router.life, random.nextInt(3) > 0, allow, first);
  }

  private void leaveIfSo(Connection connection) throws IOException, InterruptedException {
    boolean often = random.nextInt(3) == 0;
    if (often && active.isOn(FaultKind.CLIENT_REVOKES)) {
      Thread.sleep(random.nextInt(MAX_LEAVE_MILLIS));
      connection.revokeAll();
    } else if (often && active.isOn(FaultKind.CLIENT_CLOSES)) {
      Thread.sleep(random.nextInt(MAX_LEAVE_MILLIS));
      connection.leave();
    }
  }

  /**
   * As the protocol has it: once, on a new connection, where a close may have crossed the request.
   */
  private void sendAgain(ClientRequest request) throws InterruptedException {
    ClientRequest again =
        new ClientRequest(
            request.id, router.index, router.life, request.idempotent, request.allowMillis, true);
    try (Connection connection = new Connection()) {
      request.again = again;
      connection.send(again);
      connection.readReplies();
    } catch (IOException e) {
      request.again = null; // the router has gone: judged by the first one
    }
  }

  /** One connection with the requests that are open on it. */
  private final class Connection implements AutoCloseable {
    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final OutputStream out;
    private final Map<Integer, ClientRequest> open = new LinkedHashMap<>();
    private int lastSequenceId;
    private boolean isLeft;

    Connection() throws IOException {
      socket.connect(new InetSocketAddress("127.0.0.1", router.port), CONNECT_TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      out = socket.getOutputStream();
    }

    void send(ClientRequest request) throws IOException, InterruptedException {
      int sequenceId = ++lastSequenceId;
      Map<String, String> fields =
          Map.of(
              "service",
              request.idempotent ? "again" : "once",
              "ref",
              request.id,
              "allow",
              String.valueOf(request.allowMillis),
              "project",
              "shop",
              "lookup",
              String.format("%016x", random.nextInt(FUNCTIONS)),
              "extras",
              "memory_mb:10;lanes:4");
      byte[] frame =
          BinaryThrift.submit(sequenceId, fields, "x".getBytes(StandardCharsets.US_ASCII));
      if (active.isOn(FaultKind.CLIENT_HALF_MESSAGE) && random.nextInt(4) == 0) {
        int half = 1 + random.nextInt(frame.length - 1);
        out.write(Arrays.copyOf(frame, half));
        Thread.sleep(random.nextInt(HALF_MESSAGE_PAUSE_MILLIS));
        if (random.nextInt(4) == 0) {
          leave(); // the rest never comes
          return;
        }
        frame = Arrays.copyOfRange(frame, half, frame.length);
      }
      out.write(frame);
      request.sentNanos = System.nanoTime();
      open.put(sequenceId, request);
      records.requests.add(request);
    }

    void revokeAll() throws IOException {
      for (Map.Entry<Integer, ClientRequest> each : open.entrySet()) {
        out.write(BinaryThrift.revoke(++lastSequenceId, each.getKey()));
        each.getValue().leftNanos = System.nanoTime();
        each.getValue().ended(ClientRequest.End.LEFT, System.nanoTime());
      }
    }

    void leave() throws IOException {
      isLeft = true;
      socket.close();
      long now = System.nanoTime();
      for (ClientRequest request : open.values()) {
        request.leftNanos = now;
        request.ended(ClientRequest.End.LEFT, now);
      }
    }

    /** Reads until all requests have their reply; returns those that were cut off. */
    List<ClientRequest> readReplies() {
      try {
        while (open.values().stream().anyMatch(each -> each.end == ClientRequest.End.OPEN)) {
          socket.setSoTimeout(MAX_ALLOW_MILLIS + PATIENCE_MILLIS);
          replied(BinaryThrift.readReply(in));
        }
      } catch (java.net.SocketTimeoutException e) {
        return List.of(); // left open: no reply at all
      } catch (IOException e) {
        return cutOff();
      }
      return List.of();
    }

    private void replied(BinaryThrift.Reply reply) {
      ClientRequest request = open.get(reply.sequenceId());
      if (request == null) {
        records.processFaults.add(
            "router " + router.index + " replied to a number that is not open");
        return;
      }
      request.replies++;
      if (reply.kind() == BinaryThrift.ReplyKind.SERVED) {
        String body = new String(reply.body(), StandardCharsets.US_ASCII);
        request.bodyMatches &= body.equals(request.id + ":x");
      }
      request.ended(ClientRequest.End.valueOf(reply.kind().name()), System.nanoTime());
    }

    private List<ClientRequest> cutOff() {
      long now = System.nanoTime();
      List<ClientRequest> lost = new ArrayList<>();
      for (ClientRequest request : open.values()) {
        if (request.end == ClientRequest.End.OPEN) {
          request.ended(ClientRequest.End.CUT_OFF, now);
          lost.add(request);
        }
      }
      return lost;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
