package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * A router on the platform between scripted clients, workers and a feed; what is checked is what
 * these received.
 */
abstract class PlatformFixture {
  static final String FUNCTION = "00000000000000f1";
  @TempDir Path dir;
  final List<AutoCloseable> resources = new ArrayList<>();
  EventStreamTestServer feed;
  PlatformRouter platform;
  String settings = TestPlatformSettings.SETTINGS;
  private int lastId;

  @BeforeEach
  void feed() throws Exception {
    feed = new EventStreamTestServer((connection, last, out) -> true);
    resources.add(feed);
  }

  @AfterEach
  void close() throws Exception {
    long violations = platform == null ? 0 : platform.violations();
    Object events = platform == null ? "" : platform.events().counts();
    for (AutoCloseable resource : resources) {
      resource.close();
    }
    assertThat(violations).as("the router's own checks: %s", events).isZero();
  }

  String id() {
    return String.format("%016x", ++lastId);
  }

  Map<String, String> environment(String config) throws IOException {
    Path file = Files.writeString(dir.resolve("config.json"), config);
    return Map.of("NODE_NAME", "n1", "NODE_LISTEN", "127.0.0.1:0", "NODE_CONFIG", file.toString());
  }

  String config(int sockets, RespTestServer... peers) {
    return config(
        sockets, java.util.Arrays.stream(peers).map(RespTestServer::at).toArray(String[]::new));
  }

  private String config(int sockets, String... addresses) {
    List<String> workers = new ArrayList<>();
    for (int i = 0; i < addresses.length; i++) {
      workers.add(EventStreamTestServer.endpoint("w" + i, addresses[i], "SERVING", 0));
    }
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":"
        + sockets
        + "},\"feed\":\"127.0.0.1:"
        + feed.address().getPort()
        + "\",\"known\":{\"n\":1,\"events\":["
        + EventStreamTestServer.endpointListEvent(1, true, workers.toArray(new String[0]))
        + "]},\"settings\":"
        + settings
        + "}";
  }

  PlatformRouter serve(int sockets, RespTestServer... peers) throws Exception {
    resources.addAll(List.of(peers));
    return serveAt(
        sockets, java.util.Arrays.stream(peers).map(RespTestServer::at).toArray(String[]::new));
  }

  PlatformRouter serveAt(int sockets, String... workers) throws Exception {
    platform =
        new PlatformRouter(
            PlatformConfig.read(environment(config(sockets, workers)), System.currentTimeMillis()),
            new RateLimitedLog());
    resources.add(0, platform);
    return platform;
  }

  ThriftTestClient client() throws Exception {
    ThriftTestClient client = new ThriftTestClient(platform.port());
    resources.add(client);
    return client;
  }

  static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 5000; i++) {
      if (condition.getAsBoolean()) {
        return;
      } // once is enough: it may change again
      Thread.sleep(1);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  static String text(ThriftTestClient.Reply reply) {
    return new String(reply.body(), StandardCharsets.ISO_8859_1);
  }

  /** Begins the router's shutdown; the thread ends with it. */
  Thread stop() {
    Thread thread =
        new Thread(
            () -> {
              try {
                platform.stop();
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.start();
    return thread;
  }

  /**
   * Blocks the router's loop until the returned gate is closed: what comes meanwhile is read, and
   * waits.
   */
  AutoCloseable holdLoop() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    Thread thread =
        new Thread(
            () -> {
              try {
                platform.runOnEventLoop(
                    core -> {
                      held.countDown();
                      try {
                        release.await();
                      } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                      }
                    });
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.start();
    held.await();
    return () -> {
      release.countDown();
      thread.join();
    };
  }

  /**
   * All that this client sent so far has been read: the answer to a heartbeat does not pass through
   * the loop.
   */
  static void read(ThriftTestClient client, int number) throws Exception {
    client.heartbeat(number);
    assertThat(client.reply().number()).isEqualTo(number);
  }
}
