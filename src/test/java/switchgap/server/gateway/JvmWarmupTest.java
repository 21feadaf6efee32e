package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.testbed.process.ChildProcess;
import switchgap.testbed.process.LoopbackPorts;

/** The state of the JVM when a router starts to accept requests. */
class JvmWarmupTest {
  private static final Pattern ENCODER_CLASS =
      Pattern.compile(
          "com\\.fasterxml\\.jackson|switchgap\\.protocol\\.invoke\\.(Problem|Response)");

  private static final int START_COUNT = 5;

  /** The rest of a start takes less than a quarter of it, also if it loads classes. */
  private static final double MIN_COLLECTED_SHARE = 0.75;

  /** Creates garbage until it is stopped, and keeps track of which of it has been collected. */
  private static final class GarbageProducer implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 1;

    private final Queue<WeakReference<Object>> garbage = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final Thread thread = new Thread(this::run, "garbage-producer");

    GarbageProducer() {
      thread.start();
    }

    private void run() {
      while (!isStopped.get()) {
        garbage.add(new WeakReference<>(new Object()));
        try {
          Thread.sleep(INTERVAL_MILLIS);
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    /** Share of the objects so far that have been collected. */
    double collectedShare() {
      List<WeakReference<Object>> created = List.copyOf(garbage);
      long collectedCount = created.stream().filter(object -> object.get() == null).count();
      return collectedCount / (double) created.size();
    }

    @Override
    public void close() throws InterruptedException {
      isStopped.set(true);
      thread.join();
    }
  }

  /**
   * Guards against final responses after the deadline: the first collections copied what the start
   * had left in the young generation, and paused the router for longer than it reserves.
   */
  @Test
  void routerAcceptsRequestsOnlyAfterTheGarbageOfItsStartIsCollected() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo)) {
      for (int i = 0; i < START_COUNT; i++) {
        try (GarbageProducer producer = new GarbageProducer();
            GatewayFixture fixture = GatewayFixture.start(worker)) {
          double share = producer.collectedShare();
          assertThat(share).as("start " + i).isGreaterThan(MIN_COLLECTED_SHARE);
          assertThat(fixture.router().pendingRequests()).isZero();
        }
      }
    }
  }

  /**
   * Guards against a response after the deadline: the first rejection of a router loaded the
   * classes that encode it, which takes tens of milliseconds on a busy machine.
   */
  @Test
  void firstRejectionLoadsNoClassThatEncodesResponses(@TempDir Path directory) throws Exception {
    Path loadedClasses = directory.resolve("classes.log");
    Process router = null;
    try (LoopbackPorts ports = LoopbackPorts.reserve(1)) {
      int port = ports.get(0);
      router = startRouterWithoutWorkers(directory, port, loadedClasses);
      LoopbackPorts.awaitListening(port);
      int classesAtStart = encoderClasses(loadedClasses).size();
      HttpRequest invocation =
          HttpRequest.newBuilder(
                  URI.create("http://127.0.0.1:" + port + "/v1/functions/again-1/invoke"))
              .POST(HttpRequest.BodyPublishers.ofString("{}"))
              .build();
      HttpResponse<String> response =
          HttpClient.newHttpClient().send(invocation, HttpResponse.BodyHandlers.ofString());
      assertThat(GatewayFixture.outcomeOf(response)).isEqualTo(GatewayFixture.REJECTED);
      List<String> classes = encoderClasses(loadedClasses);
      assertThat(classes.subList(classesAtStart, classes.size())).isEmpty();
    } finally {
      if (router != null) {
        router.destroyForcibly().waitFor();
      }
    }
  }

  private static Process startRouterWithoutWorkers(Path directory, int port, Path loadedClasses)
      throws IOException {
    String list = "list:\n  workers:\n    - {name: w0, port: 1}\n";
    String listen = "listen: {port: " + port + "}\n";
    Path config =
        Files.writeString(
            directory.resolve("router.yaml"), GatewayFixture.SETTINGS + listen + list);
    return ChildProcess.start(
        directory.resolve("router.log"),
        List.of("-Xlog:class+load:file=" + loadedClasses),
        List.of("router", config.toString()));
  }

  private static List<String> encoderClasses(Path loadedClasses) throws IOException {
    return Files.readAllLines(loadedClasses).stream()
        .filter(line -> ENCODER_CLASS.matcher(line).find())
        .toList();
  }
}
