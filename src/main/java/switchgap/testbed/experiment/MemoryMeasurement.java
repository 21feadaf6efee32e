package switchgap.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import switchgap.config.YamlDocument;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;
import switchgap.net.NetworkTransport;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/** Heap of a router that knows 81 workers and 2,000 functions, and of each pending request. */
public final class MemoryMeasurement {
  private static final int WORKERS = 81;
  private static final int FUNCTIONS = 2000;

  private MemoryMeasurement() {}

  /**
   * Measures in this process and prints; requests are deferred, with a small body, at workers that
   * are silent.
   */
  public static void run(int calls, PrintStream out) throws IOException, InterruptedException {
    try (NetworkTransport net = new NetworkTransport(2, "lab")) {
      boolean[] silent = {false};
      int port =
          new HttpServer(
                  net,
                  HttpServerLimits.DEFAULT,
                  exchange -> {
                    if (!silent[0]) {
                      exchange.respond(
                          200, java.util.Map.of("Content-Type", "application/json"), new byte[2]);
                    }
                  })
              .listen("127.0.0.1", 0);
      HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      long before = used();
      try (GatewayRouter router =
          new GatewayRouter(GatewayConfig.read(YamlDocument.read("memory", page(port))))) {
        send(client, router, FUNCTIONS, true);
        Thread.sleep(1500);
        long known = used();
        silent[0] = true;
        send(client, router, calls, true);
        long held = used();
        int pendingRequests = router.pendingRequests();
        out.printf(
            "%d workers and %d functions known: %.1f MB over the process before the router%n",
            WORKERS, FUNCTIONS, (known - before) / 1e6);
        out.printf(
            "%d calls held: %.0f bytes each%n",
            pendingRequests, (held - known) / (double) Math.max(1, pendingRequests));
      }
    }
  }

  private static void send(
      HttpClient client, GatewayRouter router, int requests, boolean deferred) {
    List<CompletableFuture<HttpResponse<Void>>> responses = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(
                  URI.create(
                      "http://127.0.0.1:"
                          + router.port()
                          + "/v1/functions/f"
                          + i % FUNCTIONS
                          + "/invoke"))
              .POST(HttpRequest.BodyPublishers.ofString("{\"inputs\":[]}"));
      if (deferred) {
        request.header("Prefer", "respond-async");
      }
      responses.add(client.sendAsync(request.build(), HttpResponse.BodyHandlers.discarding()));
      if (i % 100 == 99) {
        responses.forEach(CompletableFuture::join);
        responses.clear();
      }
    }
    responses.forEach(CompletableFuture::join);
  }

  private static long used() throws InterruptedException {
    for (int i = 0; i < 4; i++) {
      System.gc();
      Thread.sleep(100);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static String page(int port) {
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
          .append(port)
          .append(", kind: k}\n");
    }
    return yaml.toString();
  }
}
