package switchgap.server.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import switchgap.config.YamlRouterSettings;
import switchgap.net.CloseCause;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;
import switchgap.net.NetworkTransport;
import switchgap.protocol.invoke.ResponseWarmup;

/**
 * Runs synthetic requests through a separate core and server before the router accepts requests.
 * Without it, responses in the first second are late, since the JVM still interprets the code that
 * must meet deadlines, and the first garbage collections pause the router for longer than it
 * reserves before deadlines.
 */
final class JvmWarmup {
  /** Longest duration of each of the two steps, routing and sockets. */
  static final Duration MAX_STEP_DURATION = Duration.ofSeconds(2);

  private static final int EXCHANGE_COUNT = 600;
  private static final int BODY_BYTES = 64;
  private static final int MAX_RESPONSE_BYTES = 1 << 16;
  private static final String LOOPBACK = "127.0.0.1";
  private static final String PATH = "/warm-up";
  private static final Map<String, String> HEADERS = Map.of("Content-Type", "text/plain");

  private JvmWarmup() {}

  /**
   * Warms up routing, then sockets, then the heap; blocks for about four seconds at most, plus one
   * garbage collection.
   */
  static void run(YamlRouterSettings settings, NetworkTransport network) throws IOException {
    new RoutingWarmup(settings).run();
    warmUpSockets(network);
    collectGarbage();
  }

  /**
   * Moves the objects that the start has created out of the young generation. Otherwise the first
   * young collections copy them, to memory that has not been touched, while requests are pending.
   */
  @SuppressWarnings("ExplicitGC")
  private static void collectGarbage() {
    System.gc();
  }

  private static void warmUpSockets(NetworkTransport network) throws IOException {
    try (HttpServer server =
        new HttpServer(network, HttpServerLimits.DEFAULT, new ResponseWarmup(EXCHANGE_COUNT))) {
      int port = server.listen(LOOPBACK, 0);
      CountDownLatch done = new CountDownLatch(1);
      new HttpClientConnector(network, null, MAX_RESPONSE_BYTES)
          .connect(
              new InetSocketAddress(LOOPBACK, port), MAX_STEP_DURATION, new ExchangeStarter(done));
      done.await(MAX_STEP_DURATION.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts the exchanges once the connection is open; counts down at once if it fails to open. */
  private record ExchangeStarter(CountDownLatch done)
      implements HttpClientConnection.ConnectCallback {
    @Override
    public void connected(HttpClientConnection connection) {
      new SequentialExchanges(connection, done).sendNext();
    }

    @Override
    public void failed(ConnectFailure failure) {
      done.countDown();
    }
  }

  /** Sends exchanges one after the other on one connection; counts down after the last one. */
  private static final class SequentialExchanges implements HttpClientConnection.ResponseHandler {
    private final HttpClientConnection connection;
    private final CountDownLatch done;
    private final AtomicInteger remaining = new AtomicInteger(EXCHANGE_COUNT);

    SequentialExchanges(HttpClientConnection connection, CountDownLatch done) {
      this.connection = connection;
      this.done = done;
    }

    void sendNext() {
      boolean sent =
          remaining.getAndDecrement() > 0
              && connection.send("POST", PATH, HEADERS, new byte[BODY_BYTES], this);
      if (!sent) {
        connection.close();
        done.countDown();
      }
    }

    @Override
    public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
      if (reusable) {
        sendNext();
      } else {
        done.countDown();
      }
    }

    @Override
    public void connectionLost(CloseCause cause) {
      done.countDown();
    }
  }
}
