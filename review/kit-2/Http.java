import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.*;
import java.util.concurrent.*;

/** The gateway as a process, and stand-ins for its clients and model servers. */
final class Http {
  private static final String PAGE = "gateway.yaml";

  private Http() {}

  /** A model server of the Open Inference Protocol on which every function is loaded. */
  static class ModelServer {
    final String name;
    final double workSeconds;

    /** The bodies of the requests that it executed. */
    final List<String> executed = new CopyOnWriteArrayList<>();

    /** When it began to execute each of them. */
    final Map<String, Double> begunAt = new ConcurrentHashMap<>();

    private final HttpServer server;

    ModelServer(String name, double workSeconds) throws IOException {
      this.name = name;
      this.workSeconds = workSeconds;
      server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
      server.setExecutor(Executors.newCachedThreadPool(task -> Kit.daemon(task, name)));
      server.createContext("/", this::handle);
      server.start();
    }

    int port() {
      return server.getAddress().getPort();
    }

    private void handle(HttpExchange exchange) throws IOException {
      String body = new String(exchange.getRequestBody().readAllBytes());
      String path = exchange.getRequestURI().getPath();
      if (path.endsWith("/infer")) {
        infer(exchange, path, body);
      } else {
        reply(exchange, 200, "{}");
      }
    }

    void infer(HttpExchange exchange, String path, String body) throws IOException {
      Kit.record(name + " begins to execute " + body + " (POST " + path + ")");
      begunAt.put(body, Kit.seconds());
      executed.add(body);
      Kit.sleep(workSeconds);
      reply(exchange, 200, "done " + body);
    }

    static void reply(HttpExchange exchange, int status, String body) throws IOException {
      String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
      if (id != null) {
        exchange.getResponseHeaders().set("X-Request-Id", id);
      }
      exchange.sendResponseHeaders(status, body.length());
      exchange.getResponseBody().write(body.getBytes());
      exchange.close();
    }
  }

  /** Writes the document of a gateway with one run-once workload, as docs/router.md shows it. */
  static void writeGatewayPage(
      int port, List<ModelServer> servers, String routerKeys, String sections) throws IOException {
    String runOnce =
        "{start_target: 2s, time_limit: 5s, importance: 2, late_share: 0.3, repeat: run-once}";
    writeGatewayPage(port, servers, runOnce, routerKeys, sections);
  }

  /** Writes the document of a gateway with one workload. */
  static void writeGatewayPage(
      int port, List<? extends ModelServer> servers, String workload, String routerKeys, String sections)
      throws IOException {
    StringBuilder page = new StringBuilder();
    page.append("router: {number: 0, of: 1, zone: hall-a, tick: 10ms, executions: 3,");
    page.append(" most_come_back: 1s").append(routerKeys).append("}\n");
    page.append("zones: [hall-a]\nkinds: {gen2: {memory: 6000}}\n");
    page.append("workloads:\n  notice-send: ").append(workload).append("\n");
    page.append("customers: {mobila-dor: {rate: 60}}\n");
    page.append("functions:\n  \"notice-*\": {workload: notice-send, memory: 450, lanes: 4,");
    page.append(" load_time: 750ms}\n");
    page.append("workers: {miss: loads, orders: false, keep_alive: 12s}\n").append(sections);
    page.append("listen: {host: 127.0.0.1, port: ").append(port).append("}\nlist:\n  workers:\n");
    for (ModelServer server : servers) {
      page.append("    - {name: ").append(server.name).append(", port: ");
      page.append(server.port()).append("}\n");
    }
    Files.writeString(Kit.temporary(PAGE), page);
  }

  /** Starts a gateway by the document that was written last, and waits until it is healthy. */
  static Process startGateway(Path root, int port, String log) throws Exception {
    String command = "exec java -jar target/switchgap.jar router " + Kit.temporary(PAGE);
    Process process = Kit.start(root, command, Map.of(), Kit.temporary(log));
    double end = Kit.seconds() + 30;
    while (Kit.seconds() < end && process.isAlive()) {
      try {
        HttpRequest request = request(port, "/healthz").build();
        if (client().send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200) {
          Kit.record("the gateway at port " + port + " is healthy");
          return process;
        }
      } catch (IOException e) {
        // it does not listen yet
      }
      Kit.sleep(0.05);
    }
    throw new IOException("the gateway was not ready within 30 s");
  }

  static HttpClient client() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(1))
        .build();
  }

  static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .timeout(Duration.ofSeconds(10));
  }
}
