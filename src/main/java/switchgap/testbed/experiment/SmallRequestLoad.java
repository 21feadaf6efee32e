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
 * A load of small requests, measured once after a warm-up: closed-loop (each of so many connections
 * sends again when its response came) or open-loop (so many requests a second).
 */
final class SmallRequestLoad {
  /**
   * What was measured.
   *
   * @param succeeded requests with a response of status 200
   * @param failed all others
   * @param perSecond requests that ended a second
   * @param latencyMicros time from when a request was due to its response
   */
  record Result(long succeeded, long failed, double perSecond, Histogram latencyMicros) {
    double percentileMillis(double percentile) {
      return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
  }

  private static final byte[] BODY =
      ("{\"id\":\"x\",\"inputs\":[{\"name\":\"a\",\"shape\":[4],"
              + "\"datatype\":\"FP32\",\"data\":[1,2,3,4]}]}")
          .getBytes(StandardCharsets.US_ASCII);
  private static final Map<String, String> HEADERS = Map.of("Content-Type", "application/json");
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int STATUS_OK = 200;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final long CONNECT_ALL_SECONDS = 5;
  private static final long HISTOGRAM_MAX_MICROS = 60_000_000;
  private static final long MAX_LATENCY_MICROS = 59_000_000;
  private static final double MICROS_PER_MILLI = 1000.0;
  private static final long NANOS_PER_MICRO = 1000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private final HttpClientConnector connector;
  private final InetSocketAddress[] targets;
  private final IntFunction<String> path;
  private final AtomicLong succeeded = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final ConcurrentHistogram latencyMicros =
      new ConcurrentHistogram(HISTOGRAM_MAX_MICROS, 3);
  private final AtomicLong nextNumber = new AtomicLong();
  private volatile boolean measuring;
  private volatile boolean over;

  /** {@code path}: the path of a request by its number. */
  SmallRequestLoad(NetworkTransport net, InetSocketAddress[] targets, IntFunction<String> path) {
    this.connector = new HttpClientConnector(net, null, MAX_BODY_BYTES);
    this.targets = targets;
    this.path = path;
  }

  /** Sends over so many connections, each again as soon as its response came. */
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
    connected.await(CONNECT_ALL_SECONDS, TimeUnit.SECONDS);
    return measure(warmUp, duration);
  }

  private void sendRepeatedly(HttpClientConnection connection) {
    if (over) {
      connection.close();
      return;
    }
    send(connection, System.nanoTime(), () -> sendRepeatedly(connection));
  }

  /** Sends so many requests a second at even distances; latency counts from when one was due. */
  Result runOpenLoop(int requestsPerSecond, Duration warmUp, Duration duration)
      throws InterruptedException {
    Thread pacer = new Thread(() -> sendAtRate(requestsPerSecond), "pacer");
    pacer.setDaemon(true);
    pacer.start();
    return measure(warmUp, duration);
  }

  private void sendAtRate(int requestsPerSecond) {
    ConcurrentLinkedDeque<HttpClientConnection> idle = new ConcurrentLinkedDeque<>();
    long dueNanos = System.nanoTime();
    for (int i = 0; !over; i++) {
      dueNanos += NANOS_PER_SECOND / requestsPerSecond;
      long wait = dueNanos - System.nanoTime();
      if (wait > 0) {
        LockSupport.parkNanos(wait);
      }
      sendOverIdle(idle, i, dueNanos);
    }
  }

  /** Sends over an idle connection, else over a new one. */
  private void sendOverIdle(
      ConcurrentLinkedDeque<HttpClientConnection> idle, int number, long dueNanos) {
    HttpClientConnection connection = idle.poll();
    if (connection != null && connection.isUsable()) {
      send(connection, dueNanos, () -> idle.push(connection));
    } else {
      connect(
          number,
          opened -> send(opened, dueNanos, () -> idle.push(opened)),
          failed::incrementAndGet);
    }
  }

  private void connect(int number, Consumer<HttpClientConnection> onConnected, Runnable onFailure) {
    connector.connect(
        targets[number % targets.length],
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

  /** Sends one request; the callback runs when the connection is free for the next one. */
  private void send(HttpClientConnection connection, long dueNanos, Runnable onFree) {
    boolean sent =
        connection.send(
            "POST",
            path.apply((int) nextNumber.getAndIncrement()),
            HEADERS,
            BODY,
            new HttpClientConnection.ResponseHandler() {
              @Override
              public void responded(
                  int status, Map<String, String> headers, byte[] body, boolean reusable) {
                countResponse(status, dueNanos);
                if (reusable) {
                  onFree.run();
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
      long latency = (System.nanoTime() - dueNanos) / NANOS_PER_MICRO;
      latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, latency));
    }
  }

  private Result measure(Duration warmUp, Duration duration) throws InterruptedException {
    Thread.sleep(warmUp.toMillis());
    succeeded.set(0);
    failed.set(0);
    measuring = true;
    long startedAt = System.nanoTime();
    Thread.sleep(duration.toMillis());
    measuring = false;
    double seconds = (System.nanoTime() - startedAt) / (double) NANOS_PER_SECOND;
    double perSecond = (succeeded.get() + failed.get()) / seconds;
    Result result = new Result(succeeded.get(), failed.get(), perSecond, latencyMicros.copy());
    over = true;
    return result;
  }
}
