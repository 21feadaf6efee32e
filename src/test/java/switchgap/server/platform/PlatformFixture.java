package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a router with scripted clients, workers and an event stream; tests check what these
 * received.
 */
abstract class PlatformFixture {
  static final String FUNCTION = TestSubmit.DEFAULT_FUNCTION;

  /** Enough descriptors that tests do not reach the limits unintentionally. */
  static final int MANY_SOCKETS = 256;

  private static final int AWAIT_CHECKS = 5000;

  @TempDir Path directory;

  /**
   * Resources that are closed after the test in this order. Thread-safe, as threads of a test may
   * add to it.
   */
  final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();

  EventStreamTestServer eventStream;
  PlatformRouter router;
  String settings = TestPlatformSettings.SETTINGS;
  private int lastId;

  @BeforeEach
  void startEventStream() throws Exception {
    eventStream = new EventStreamTestServer(EventStreamTestServer::sendHeartbeat);
    resources.add(eventStream);
  }

  @AfterEach
  void closeResources() throws Exception {
    long violations = router == null ? 0 : router.violations();
    Object events = router == null ? "" : router.events().counts();
    for (AutoCloseable resource : resources) {
      resource.close();
    }
    assertThat(violations).as("violated invariants: %s", events).isZero();
  }

  /** Returns a request id that this test has not used yet. */
  String nextId() {
    return String.format("%016x", ++lastId);
  }

  // ------------------------------------------------------------------ router

  /** Starts a router with workers; all of them are closed after the test. */
  PlatformRouter startRouter(int maxSockets, RespTestServer... workers) throws Exception {
    resources.addAll(List.of(workers));
    return startRouterWithWorkersAt(maxSockets, addresses(workers));
  }

  PlatformRouter startRouterWithWorkersAt(int maxSockets, String... workerAddresses)
      throws Exception {
    Map<String, String> environment = environment(configJson(maxSockets, workerAddresses));
    PlatformConfig config = PlatformConfig.read(environment, System.currentTimeMillis());
    router = new PlatformRouter(config, new RateLimitedLog());
    resources.add(0, router);
    await(router::isEndpointListConfirmed);
    return router;
  }

  /**
   * Writes a configuration file with the given text and returns the environment of a router that
   * uses it.
   */
  Map<String, String> environment(String config) throws IOException {
    Path file = Files.writeString(directory.resolve("config.json"), config);
    return Map.of("NODE_NAME", "n1", "NODE_LISTEN", "127.0.0.1:0", "NODE_CONFIG", file.toString());
  }

  String configJson(int maxSockets, RespTestServer... workers) {
    return configJson(maxSockets, addresses(workers));
  }

  private String configJson(int maxSockets, String... workerAddresses) {
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < workerAddresses.length; i++) {
      endpoints.add(EventStreamTestServer.servingEndpoint("w" + i, workerAddresses[i]));
    }
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":"
        + maxSockets
        + "},\"feed\":\"127.0.0.1:"
        + eventStream.address().getPort()
        + "\",\"known\":{\"n\":1,\"events\":["
        + EventStreamTestServer.endpointListEvent(1, true, endpoints.toArray(new String[0]))
        + "]},\"settings\":"
        + settings
        + "}";
  }

  private static String[] addresses(RespTestServer... workers) {
    return Arrays.stream(workers).map(RespTestServer::address).toArray(String[]::new);
  }

  /** The router's resource usage, without a checked exception so that conditions can use it. */
  ResourceUsage usage() {
    try {
      return router.resourceUsage();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Begins the router's shutdown on the returned thread, which ends when the shutdown is complete.
   */
  Thread beginShutdown() {
    return startThread(router::stop);
  }

  /**
   * Blocks the router's event loop until the returned gate is closed. Until then messages are still
   * read and queued.
   */
  AutoCloseable blockEventLoop() throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    Thread thread =
        startThread(
            () ->
                router.runOnEventLoop(
                    core -> {
                      blocked.countDown();
                      awaitUninterrupted(release);
                    }));
    blocked.await();
    return () -> {
      release.countDown();
      thread.join();
    };
  }

  private interface InterruptibleTask {
    void run() throws InterruptedException;
  }

  private static Thread startThread(InterruptibleTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.start();
    return thread;
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  // ------------------------------------------------------------------ clients

  /** Connects a client, which is closed after the test. */
  ThriftTestClient connectClient() throws Exception {
    ThriftTestClient client = new ThriftTestClient(router.port());
    resources.add(client);
    return client;
  }

  /**
   * Waits until the router has read everything that this client has sent. Uses a heartbeat, which
   * is answered without the event loop.
   */
  static void awaitMessagesRead(ThriftTestClient client, int sequenceId) throws Exception {
    client.heartbeat(sequenceId);
    assertThat(client.receiveReply().sequenceId()).isEqualTo(sequenceId);
  }

  /** Waits at most about 5 s until the condition holds once; fails if it does not. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < AWAIT_CHECKS; i++) {
      if (condition.getAsBoolean()) {
        return;
      }
      Thread.sleep(1);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }
}
