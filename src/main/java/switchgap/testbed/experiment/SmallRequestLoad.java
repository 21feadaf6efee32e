package switchgap.testbed.experiment;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import switchgap.net.CloseCause;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.NetworkTransport;

/**
 * Sends small requests and measures them once after a warm-up, either closed-loop (a fixed number
 * of connections, each of which sends its next request after the response) or open-loop (a fixed
 * request rate).
 */
final class SmallRequestLoad {
  /**
   * The result of a measurement.
   *
   * @param succeeded requests with a response of status 200
   * @param failed requests with another status or without a response
   * @param requestsPerSecond succeeded and failed requests per second
   * @param latencyMicros time from a request's scheduled sending to its response
   */
  record Result(long succeeded, long failed, double requestsPerSecond, Histogram latencyMicros) {
    double percentileMillis(double percentile) {
      return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
  }

  private static final byte[] REQUEST_BODY =
      ("{\"id\":\"x\",\"inputs\":[{\"name\":\"a\",\"shape\":[4],"
              + "\"datatype\":\"FP32\",\"data\":[1,2,3,4]}]}")
          .getBytes(StandardCharsets.US_ASCII);
  private static final Map<String, String> HEADERS = Map.of("Content-Type", "application/json");
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int STATUS_OK = 200;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final long MAX_CONNECT_WAIT_SECONDS = 5;
  private static final long HISTOGRAM_MAX_MICROS = 60_000_000;
  private static final long MAX_LATENCY_MICROS = 59_000_000;
  private static final double MICROS_PER_MILLI = 1000.0;
  private static final long NANOS_PER_MICRO = 1000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final HttpClientConnector connector;
  private final InetSocketAddress[] targets;
  private final IntFunction<String> pathOfRequest;
  private final AtomicLong succeeded = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final ConcurrentHistogram latencyMicros =
      new ConcurrentHistogram(HISTOGRAM_MAX_MICROS, 3);
  private final AtomicLong nextRequestNumber = new AtomicLong();
  private volatile boolean measuring;
  private volatile boolean finished;

  /** {@code pathOfRequest} returns the path for a request number. */
  SmallRequestLoad(
      NetworkTransport network, InetSocketAddress[] targets, IntFunction<String> pathOfRequest) {
    this.connector = new HttpClientConnector(network, null, MAX_BODY_BYTES);
    this.targets = targets;
    this.pathOfRequest = pathOfRequest;
  }

  /**
   * Sends over a fixed number of connections; on each connection, the next request follows as soon
   * as the response to the previous one has arrived.
   */
  Result runClosedLoop(int connections, Duration warmUp, Duration duration)
      throws InterruptedException {
    CountDownLatch connected = new CountDownLatch(connections);
    for (int i = 0; i < connections; i++) {
      connect(
          i,
          connection -> {
            connected.countDown();
            sendRepeatedly(connection);
          },
          connected::countDown);
    }
    connected.await(MAX_CONNECT_WAIT_SECONDS, TimeUnit.SECONDS);
    return measure(warmUp, duration);
  }

  private void sendRepeatedly(HttpClientConnection connection) {
    if (finished) {
      connection.close();
      return;
    }
    send(connection, System.nanoTime(), () -> sendRepeatedly(connection));
  }

  /** Sends requests at a constant rate; latency is measured from the scheduled time of each. */
  Result runOpenLoop(int requestsPerSecond, Duration warmUp, Duration duration)
      throws InterruptedException {
    Thread pacer = new Thread(() -> sendAtRate(requestsPerSecond), "pacer");
    pacer.setDaemon(true);
    pacer.start();
    return measure(warmUp, duration);
  }

  private void sendAtRate(int requestsPerSecond) {
    ConcurrentLinkedDeque<HttpClientConnection> idleConnections = new ConcurrentLinkedDeque<>();
    long dueNanos = System.nanoTime();
    for (int requestNumber = 0; !finished; requestNumber++) {
      dueNanos += NANOS_PER_SECOND / requestsPerSecond;
      long waitNanos = dueNanos - System.nanoTime();
      if (waitNanos > 0) {
        LockSupport.parkNanos(waitNanos);
      }
      sendOverIdleOrNewConnection(idleConnections, requestNumber, dueNanos);
    }
  }

  private void sendOverIdleOrNewConnection(
      ConcurrentLinkedDeque<HttpClientConnection> idleConnections,
      int requestNumber,
      long dueNanos) {
    HttpClientConnection connection = idleConnections.poll();
    if (connection != null && connection.isUsable()) {
      send(connection, dueNanos, () -> idleConnections.push(connection));
    } else {
      connect(
          requestNumber,
          opened -> send(opened, dueNanos, () -> idleConnections.push(opened)),
          failed::incrementAndGet);
    }
  }

  private void connect(
      int targetNumber, Consumer<HttpClientConnection> onConnected, Runnable onFailure) {
    connector.connect(
        targets[targetNumber % targets.length],
        CONNECT_TIMEOUT,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection connection) {
            onConnected.accept(connection);
          }

          @Override
          public void failed(ConnectFailure failure) {
            onFailure.run();
          }
        });
  }

  /** Sends one request. The callback runs when the connection can be used for the next request. */
  private void send(HttpClientConnection connection, long dueNanos, Runnable onConnectionFree) {
    boolean sent =
        connection.send(
            "POST",
            pathOfRequest.apply((int) nextRequestNumber.getAndIncrement()),
            HEADERS,
            REQUEST_BODY,
            new HttpClientConnection.ResponseHandler() {
              @Override
              public void responded(
                  int status, Map<String, String> headers, byte[] body, boolean reusable) {
                countResponse(status, dueNanos);
                if (reusable) {
                  onConnectionFree.run();
                }
              }

              @Override
              public void connectionLost(CloseCause cause) {
                failed.incrementAndGet();
              }
            });
    if (!sent) {
      failed.incrementAndGet();
    }
  }

  private void countResponse(int status, long dueNanos) {
    (status == STATUS_OK ? succeeded : failed).incrementAndGet();
    if (measuring) {
      long elapsedMicros = (System.nanoTime() - dueNanos) / NANOS_PER_MICRO;
      latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, elapsedMicros));
    }
  }

  private Result measure(Duration warmUp, Duration duration) throws InterruptedException {
    Thread.sleep(warmUp.toMillis());
    succeeded.set(0);
    failed.set(0);
    measuring = true;
    long startNanos = System.nanoTime();
    Thread.sleep(duration.toMillis());
    measuring = false;
    double seconds = (System.nanoTime() - startNanos) / (double) NANOS_PER_SECOND;
    double requestsPerSecond = (succeeded.get() + failed.get()) / seconds;
    Result result =
        new Result(succeeded.get(), failed.get(), requestsPerSecond, latencyMicros.copy());
    finished = true;
    return result;
  }
}
