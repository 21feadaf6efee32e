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
import java.util.function.IntFunction;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import switchgap.net.CloseCause;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.NetworkTransport;

/**
 * A load of small requests: closed (so many connections, each sends again at once) or open (so many
 * requests a second).
 */
final class SmallRequestLoad {
  /**
   * Requests answered well and otherwise, a second, and microseconds from the time a request was
   * due.
   */
  record Result(long good, long bad, double perSecond, Histogram micros) {
    double quantile(double percentile) {
      return micros.getValueAtPercentile(percentile) / 1000.0;
    }
  }

  private static final byte[] BODY =
      ("{\"id\":\"x\",\"inputs\":[{\"name\":\"a\",\"shape\":[4],"
              + "\"datatype\":\"FP32\",\"data\":[1,2,3,4]}]}")
          .getBytes(StandardCharsets.US_ASCII);
  private final HttpClientConnector factory;
  private final InetSocketAddress[] to;
  private final IntFunction<String> path;
  private final AtomicLong good = new AtomicLong();
  private final AtomicLong bad = new AtomicLong();
  private final ConcurrentHistogram micros = new ConcurrentHistogram(60_000_000, 3);
  private final AtomicLong number = new AtomicLong();
  private volatile boolean measuring;
  private volatile boolean over;

  SmallRequestLoad(NetworkTransport net, InetSocketAddress[] to, IntFunction<String> path) {
    this.factory = new HttpClientConnector(net, null, 1 << 20);
    this.to = to;
    this.path = path;
  }

  /** So many connections, after a warm-up. */
  Result closed(int connections, Duration warm, Duration span) throws InterruptedException {
    CountDownLatch open = new CountDownLatch(connections);
    for (int i = 0; i < connections; i++) {
      factory.connect(
          to[i % to.length],
          Duration.ofSeconds(2),
          new HttpClientConnection.ConnectCallback() {
            @Override
            public void connected(HttpClientConnection connection) {
              open.countDown();
              again(connection);
            }

            @Override
            public void failed(ConnectFailure failure) {
              open.countDown();
            }
          });
    }
    open.await(5, TimeUnit.SECONDS);
    return measure(warm, span);
  }

  private Result measure(Duration warm, Duration span) throws InterruptedException {
    Thread.sleep(warm.toMillis());
    good.set(0);
    bad.set(0);
    measuring = true;
    long startedAt = System.nanoTime();
    Thread.sleep(span.toMillis());
    measuring = false;
    double seconds = (System.nanoTime() - startedAt) / 1e9;
    Result result =
        new Result(good.get(), bad.get(), (good.get() + bad.get()) / seconds, micros.copy());
    over = true;
    return result;
  }

  private void again(HttpClientConnection connection) {
    if (over) {
      connection.close();
      return;
    }
    ask(connection, System.nanoTime(), () -> again(connection));
  }

  private void ask(HttpClientConnection connection, long due, Runnable then) {
    boolean sent =
        connection.send(
            "POST",
            path.apply((int) number.getAndIncrement()),
            Map.of("Content-Type", "application/json"),
            BODY,
            new HttpClientConnection.ResponseHandler() {
              @Override
              public void responded(
                  int status, Map<String, String> headers, byte[] body, boolean reusable) {
                (status == 200 ? good : bad).incrementAndGet();
                if (measuring) {
                  micros.recordValue(Math.min(59_000_000, (System.nanoTime() - due) / 1000));
                }
                if (reusable) {
                  then.run();
                }
              }

              @Override
              public void connectionLost(CloseCause cause) {
                bad.incrementAndGet();
              }
            });
    if (!sent) {
      bad.incrementAndGet();
    }
  }

  /** So many requests a second at even distances; latency counts from when a request was due. */
  Result open(int rate, Duration warm, Duration span) throws InterruptedException {
    ConcurrentLinkedDeque<HttpClientConnection> idle = new ConcurrentLinkedDeque<>();
    Thread pacer =
        new Thread(
            () -> {
              long due = System.nanoTime();
              for (int i = 0; !over; i++) {
                due += 1_000_000_000L / rate;
                long wait = due - System.nanoTime();
                if (wait > 0) {
                  LockSupport.parkNanos(wait);
                }
                long dueAt = due;
                HttpClientConnection idleConnection = idle.poll();
                if (idleConnection != null && idleConnection.isUsable()) {
                  ask(idleConnection, dueAt, () -> idle.push(idleConnection));
                } else {
                  factory.connect(
                      to[i % to.length],
                      Duration.ofSeconds(2),
                      new HttpClientConnection.ConnectCallback() {
                        @Override
                        public void connected(HttpClientConnection connection) {
                          ask(connection, dueAt, () -> idle.push(connection));
                        }

                        @Override
                        public void failed(ConnectFailure failure) {
                          bad.incrementAndGet();
                        }
                      });
                }
              }
            },
            "pacer");
    pacer.setDaemon(true);
    pacer.start();
    return measure(warm, span);
  }
}
