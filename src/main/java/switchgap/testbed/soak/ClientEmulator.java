package switchgap.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Emulates a client of one router. It uses one connection at a time, sends a few batches of
 * requests on it, and misbehaves while faults of clients are active.
 */
final class ClientEmulator implements Runnable {
  private static final int MAX_BATCHES_PER_CONNECTION = 5;
  private static final int[] BATCH_SIZES = {1, 1, 1, 3};
  private static final int MIN_TIMEOUT_MILLIS = 250;
  private static final int MAX_THINK_TIME_MILLIS = 40;
  private static final int MAX_CANCEL_DELAY_MILLIS = 30;
  private static final long ROTATION_POLL_MILLIS = 5;
  private static final AtomicLong LAST_REQUEST_ID = new AtomicLong();

  private final ServeProcess router;
  private final SoakRecords records;
  private final ActiveFaults activeFaults;
  private final Random random;
  private final int maxTimeoutMillis;
  private volatile boolean stopped;

  /**
   * Creates a client.
   *
   * @param activeFaults faults that are currently active; the client acts on the faults of clients
   * @param maxTimeoutMillis longest timeout in the routers' settings; the client uses at most 1 s
   */
  ClientEmulator(
      ServeProcess router,
      SoakRecords records,
      ActiveFaults activeFaults,
      int maxTimeoutMillis,
      long seed) {
    this.maxTimeoutMillis = Math.min(maxTimeoutMillis, RecordingConnection.MAX_TIMEOUT_MILLIS);
    this.router = router;
    this.records = records;
    this.activeFaults = activeFaults;
    this.random = new Random(seed);
  }

  /** Makes {@link #run} return after the current batch of requests. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        if (router.isInRotation()) {
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
    List<ObservedRequest> lostRequests = List.of();
    try (RecordingConnection connection = connect()) {
      int batchCount = 1 + random.nextInt(MAX_BATCHES_PER_CONNECTION);
      for (int batch = 0; maySendBatch(batch, batchCount); batch++) {
        lostRequests = sendBatch(connection, batch == 0);
        if (!lostRequests.isEmpty() || connection.isClosedByClient()) {
          break;
        }
        Thread.sleep(random.nextInt(MAX_THINK_TIME_MILLIS));
      }
    } catch (IOException e) {
      // The router accepts no connection or has exited.
      Thread.sleep(ROTATION_POLL_MILLIS);
    }
    for (ObservedRequest request : lostRequests) {
      boolean sameProcess = router.incarnation().equals(request.destination());
      if (!request.isFirstOnConnection() && sameProcess && request.mayHaveCrossedClose()) {
        resend(request);
      }
    }
  }

  /**
   * Whether the client may send another batch on its connection. A router that is out of rotation
   * gets no new connections, so the open one is used until the router stops serving.
   */
  private boolean maySendBatch(int batch, int batchCount) {
    boolean isLastConnection = router.isServing() && !router.isInRotation();
    return !stopped && router.isServing() && (batch < batchCount || isLastConnection);
  }

  private RecordingConnection connect() throws IOException {
    return new RecordingConnection(router, records, activeFaults, random);
  }

  /** Sends a batch and awaits the responses; returns the requests whose connection was lost. */
  private List<ObservedRequest> sendBatch(RecordingConnection connection, boolean firstOnConnection)
      throws InterruptedException {
    int size = BATCH_SIZES[random.nextInt(BATCH_SIZES.length)];
    try {
      for (int i = 0; i < size; i++) {
        connection.send(newRequest(firstOnConnection));
      }
      cancelIfFaultActive(connection);
    } catch (IOException e) {
      // Requests of the batch that were not sent completely are not recorded.
      return connection.markConnectionLost();
    }
    return connection.awaitResponses();
  }

  private ObservedRequest newRequest(boolean firstOnConnection) {
    String id = String.format("%016x", LAST_REQUEST_ID.incrementAndGet());
    int timeoutMillis = MIN_TIMEOUT_MILLIS + random.nextInt(maxTimeoutMillis - MIN_TIMEOUT_MILLIS);
    boolean idempotent = random.nextInt(3) > 0;
    return new ObservedRequest(
        id, router.incarnation(), idempotent, timeoutMillis, firstOnConnection);
  }

  private void cancelIfFaultActive(RecordingConnection connection)
      throws IOException, InterruptedException {
    boolean isBatchChosen = random.nextInt(3) == 0;
    if (isBatchChosen && activeFaults.isActive(SoakFaultType.CLIENT_REVOKES)) {
      Thread.sleep(random.nextInt(MAX_CANCEL_DELAY_MILLIS));
      connection.cancelAll();
    } else if (isBatchChosen && activeFaults.isActive(SoakFaultType.CLIENT_CLOSES)) {
      Thread.sleep(random.nextInt(MAX_CANCEL_DELAY_MILLIS));
      connection.closeByClient();
    }
  }

  /**
   * Sends a request again on a new connection. The protocol allows one resend if the router may
   * have closed the idle connection while the request was on its way.
   */
  private void resend(ObservedRequest request) throws InterruptedException {
    try (RecordingConnection connection = connect()) {
      request.markResent();
      connection.send(request.copyForResend());
      connection.awaitResponses();
    } catch (IOException e) {
      boolean closedByShutdown =
          !router.isInRotation() && router.endedBeforeKill(request.endedNanos());
      if (closedByShutdown && request.mayHaveCrossedClose()) {
        // The router is shutting down, so no router has accepted the request.
        request.markResendRejected();
      } else {
        // The router has exited, so the checks apply to the first transmission.
        request.markResendFailed();
      }
    }
  }
}
