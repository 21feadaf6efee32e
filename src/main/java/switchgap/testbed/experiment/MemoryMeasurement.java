package switchgap.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import switchgap.config.YamlDocument;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;
import switchgap.net.NetworkTransport;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/**
 * Measures the heap that a router uses for 81 workers and 2,000 functions, and per pending request.
 */
public final class MemoryMeasurement {
  private static final int WORKERS = 81;
  private static final int FUNCTIONS = 2000;
  private static final int BATCH_SIZE = 100;
  private static final long SETTLE_MILLIS = 1500;
  private static final int GC_RUNS = 4;
  private static final long GC_PAUSE_MILLIS = 100;

  private MemoryMeasurement() {}

  /**
   * Measures a router in this process and prints the results. The pending requests are deferred
   * requests with a small body that the workers don't respond to.
   */
  public static void run(int requestCount, PrintStream out)
      throws IOException, InterruptedException {
    try (NetworkTransport network = new NetworkTransport(2, "lab")) {
      AtomicBoolean workersSilent = new AtomicBoolean();
      int workerPort =
          new HttpServer(
                  network,
                  HttpServerLimits.DEFAULT,
                  exchange -> {
                    if (!workersSilent.get()) {
                      exchange.respond(
                          200, Map.of("Content-Type", "application/json"), new byte[2]);
                    }
                  })
              .listen("127.0.0.1", 0);
      HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      long bytesBeforeRouter = usedHeapBytes();
      try (GatewayRouter router =
          new GatewayRouter(
              GatewayConfig.read(YamlDocument.read("memory", routerConfig(workerPort))))) {
        invokeDeferred(client, router, FUNCTIONS);
        Thread.sleep(SETTLE_MILLIS);
        long bytesWithFunctions = usedHeapBytes();
        workersSilent.set(true);
        invokeDeferred(client, router, requestCount);
        long bytesWithRequests = usedHeapBytes();
        int pendingRequests = router.pendingRequests();
        out.printf(
            "%d workers and %d functions: %.1f MB more heap than before the router started%n",
            WORKERS, FUNCTIONS, (bytesWithFunctions - bytesBeforeRouter) / 1e6);
        out.printf(
            "%d pending calls: %.0f bytes of heap per call%n",
            pendingRequests,
            (bytesWithRequests - bytesWithFunctions) / (double) Math.max(1, pendingRequests));
      }
    }
  }

  private static void invokeDeferred(HttpClient client, GatewayRouter router, int requestCount) {
    List<CompletableFuture<HttpResponse<Void>>> responses = new ArrayList<>();
    for (int i = 0; i < requestCount; i++) {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(
                  URI.create(
                      "http://127.0.0.1:"
                          + router.port()
                          + "/v1/functions/f"
                          + i % FUNCTIONS
                          + "/invoke"))
              .POST(HttpRequest.BodyPublishers.ofString("{\"inputs\":[]}"));
      request.header("Prefer", "respond-async");
      responses.add(client.sendAsync(request.build(), HttpResponse.BodyHandlers.discarding()));
      if (i % BATCH_SIZE == BATCH_SIZE - 1) {
        responses.forEach(CompletableFuture::join);
        responses.clear();
      }
    }
    responses.forEach(CompletableFuture::join);
  }

  /** Returns the heap in use after several garbage collections. */
  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
      Thread.sleep(GC_PAUSE_MILLIS);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static String routerConfig(int workerPort) {
    StringBuilder yaml =
        new StringBuilder(
            """
            router: {number: 0, of: 1, tick: 10ms}
            workloads: {w: {start_target: 60s, time_limit: 120s, repeat: restartable}}
            functions: {"f*": {workload: w, memory: 1, lanes: 100}}
            kinds: {k: {memory: 1000000}}
            holds: {calls: 100000, deferred: 100000}
            links: {connections: 2, waiting: 100000}
            listen: {port: 0}
            list:
              workers:
            """);
    for (int i = 0; i < WORKERS; i++) {
      yaml.append("    - {name: w")
          .append(i)
          .append(", port: ")
          .append(workerPort)
          .append(", kind: k}\n");
    }
    return yaml.toString();
  }
}
