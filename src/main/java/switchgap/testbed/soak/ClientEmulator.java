package switchgap.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client of one router. It uses one connection after the other, for some requests each, and
 * misbehaves as the active faults demand.
 */
final class ClientEmulator implements Runnable {
  private static final int MAX_BATCHES = 5;
  private static final int[] BATCH_SIZES = {1, 1, 1, 3};
  private static final int MIN_TIMEOUT_MILLIS = 250;
  private static final int MAX_THINK_MILLIS = 40;
  private static final int MAX_CANCEL_DELAY_MILLIS = 30;
  private static final long ROTATION_POLL_MILLIS = 5;
  private static final AtomicLong LAST_ID = new AtomicLong();

  private final ServeProcess router;
  private final SoakRecords records;
  private final ActiveFaults active;
  private final Random random;
  private final int maxTimeoutMillis;
  private volatile boolean stopped;

  /**
   * A client; of the active faults it plays those of clients.
   *
   * @param maxTimeoutMillis the longest timeout of requests
   */
  ClientEmulator(
      ServeProcess router,
      SoakRecords records,
      ActiveFaults active,
      int maxTimeoutMillis,
      long seed) {
    this.maxTimeoutMillis = Math.min(maxTimeoutMillis, RecordingConnection.MAX_TIMEOUT_MILLIS);
    this.router = router;
    this.records = records;
    this.active = active;
    this.random = new Random(seed);
  }

  /** Ends its run once the requests in flight have ended. */
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
    List<ObservedRequest> lost = List.of();
    try (RecordingConnection connection = connect()) {
      int batches = 1 + random.nextInt(MAX_BATCHES);
      for (int batch = 0; mayGoOn(batch, batches); batch++) {
        lost = sendBatch(connection, batch == 0);
        if (!lost.isEmpty() || connection.isClosedByClient()) {
          break;
        }
        Thread.sleep(random.nextInt(MAX_THINK_MILLIS));
      }
    } catch (IOException e) {
      Thread.sleep(ROTATION_POLL_MILLIS); // it does not accept, or the router has gone
    }
    for (ObservedRequest request : lost) {
      boolean sameProcess = router.incarnation().equals(request.destination());
      if (!request.isFirstOnConnection() && sameProcess && request.crossedClose()) {
        resend(request);
      }
    }
  }

  /** Where no new connection is to be opened, an open one is used for as long as it lasts. */
  private boolean mayGoOn(int batch, int batches) {
    boolean isLastConnection = router.isServing() && !router.isInRotation();
    return !stopped && router.isServing() && (batch < batches || isLastConnection);
  }

  private RecordingConnection connect() throws IOException {
    return new RecordingConnection(router, records, active, random);
  }

  /** Sends some requests and awaits their responses; returns those whose connection was lost. */
  private List<ObservedRequest> sendBatch(RecordingConnection connection, boolean first)
      throws InterruptedException {
    int size = BATCH_SIZES[random.nextInt(BATCH_SIZES.length)];
    try {
      for (int i = 0; i < size; i++) {
        connection.send(newRequest(first));
      }
      cancelByFault(connection);
    } catch (IOException e) {
      return connection.connectionLost(); // those of the batch that were sent whole
    }
    return connection.awaitResponses();
  }

  private ObservedRequest newRequest(boolean firstOnConnection) {
    String id = String.format("%016x", LAST_ID.incrementAndGet());
    int timeoutMillis = MIN_TIMEOUT_MILLIS + random.nextInt(maxTimeoutMillis - MIN_TIMEOUT_MILLIS);
    boolean idempotent = random.nextInt(3) > 0;
    return new ObservedRequest(
        id, router.incarnation(), idempotent, timeoutMillis, firstOnConnection);
  }

  private void cancelByFault(RecordingConnection connection)
      throws IOException, InterruptedException {
    boolean often = random.nextInt(3) == 0;
    if (often && active.isOn(SoakFaultType.CLIENT_REVOKES)) {
      Thread.sleep(random.nextInt(MAX_CANCEL_DELAY_MILLIS));
      connection.revokeAll();
    } else if (often && active.isOn(SoakFaultType.CLIENT_CLOSES)) {
      Thread.sleep(random.nextInt(MAX_CANCEL_DELAY_MILLIS));
      connection.closeByClient();
    }
  }

  /**
   * Sends a request once more on a new connection: the protocol allows it once, where the router's
   * close of an idle connection may have crossed the request.
   */
  private void resend(ObservedRequest request) throws InterruptedException {
    try (RecordingConnection connection = connect()) {
      request.resending();
      connection.send(request.copyForResend());
      connection.awaitResponses();
    } catch (IOException e) {
      boolean isShutDown = !router.isInRotation() && router.closedByItself(request.endedNanos());
      if (isShutDown && request.crossedClose()) {
        request.resendRefused(); // no router has taken it
      } else {
        request.resendFailed(); // the router has gone: the first request is judged
      }
    }
  }
}
