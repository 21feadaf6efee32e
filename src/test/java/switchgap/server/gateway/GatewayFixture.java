package switchgap.server.gateway;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import switchgap.config.YamlDocument;

/** A router whose workers are test servers, and a client of it. */
final class GatewayFixture implements AutoCloseable {
  /** Functions whose requests may be executed again, at most once, and again with a key. */
  static final String IDEMPOTENT = "again-1";

  static final String NON_IDEMPOTENT = "once-1";
  static final String KEYED = "known-1";

  /** How requests end, as the header {@code Switchgap-End} says. */
  static final String SUCCEEDED = "finished";

  static final String REJECTED = "pushed-back";
  static final String FAILED = "killed";

  static final String SETTINGS =
      """
      router: {number: 0, of: 1, tick: 20ms, executions: 3, most_come_back: 900ms}
      workloads:
        again: {start_target: 300ms, time_limit: 900ms, repeat: restartable}
        once: {start_target: 300ms, time_limit: 900ms, repeat: run-once, importance: 2}
        known: {start_target: 300ms, time_limit: 900ms, repeat: fingerprinted, memory_span: 5s}
      customers: {shop: {rate: 100}}
      functions:
        again*: {workload: again, memory: 100, lanes: 4}
        once*: {workload: once, memory: 100, lanes: 4}
        known*: {workload: known, memory: 100, lanes: 4}
      """;

  private final GatewayRouter router;
  private final HttpClient client;

  private GatewayFixture(GatewayRouter router, HttpClient client) {
    this.router = router;
    this.client = client;
  }

  /** Starts a router with the settings above and these workers. */
  static GatewayFixture start(HttpTestServer... workers) throws IOException {
    return builder().workers(workers).start();
  }

  static Builder builder() {
    return new Builder();
  }

  /** Composes the configuration of a router. */
  static final class Builder {
    private String settings = SETTINGS;
    private String sections = "";
    private List<HttpTestServer> workers = List.of();

    /** Replaces {@link #SETTINGS}. */
    Builder settings(String yaml) {
      settings = yaml;
      return this;
    }

    /** Adds sections, such as {@code listen}; a section {@code list} excludes workers. */
    Builder sections(String yaml) {
      sections = yaml;
      return this;
    }

    /** The workers that the configuration names, as w0, w1 and so on. */
    Builder workers(HttpTestServer... servers) {
      workers = List.of(servers);
      return this;
    }

    GatewayFixture start() throws IOException {
      StringBuilder yaml = new StringBuilder(settings).append(sections);
      if (!sections.contains("listen:")) {
        yaml.append("listen: {port: 0}\n");
      }
      if (!sections.contains("list:")) {
        yaml.append("list:\n  workers:\n");
        for (int i = 0; i < workers.size(); i++) {
          int port = workers.get(i).port();
          yaml.append("    - {name: w%d, port: %d}%n".formatted(i, port));
        }
      }
      YamlDocument document = YamlDocument.read("test.yaml", yaml.toString());
      // first, so that it takes no time of what begins with the router, such as a pin
      HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      return new GatewayFixture(new GatewayRouter(GatewayConfig.read(document)), client);
    }
  }

  GatewayRouter router() {
    return router;
  }

  /** A request of any path, without a method yet. */
  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + router.port() + path));
  }

  /** A request that invokes a function. */
  HttpRequest.Builder invocation(String function, String body) {
    return request("/v1/functions/" + function + "/invoke")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  /** Invokes a function and waits for the response; headers are names and values in turn. */
  HttpResponse<String> invoke(String function, String body, String... headers) throws Exception {
    return invokeAsync(function, body, headers).get();
  }

  CompletableFuture<HttpResponse<String>> invokeAsync(
      String function, String body, String... headers) {
    HttpRequest.Builder builder = invocation(function, body);
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Invokes a function; tells how that ended, or "none" where there was no response. */
  CompletableFuture<String> invokeForEndAsync(String function, String body) {
    return invokeAsync(function, body)
        .handle((response, failure) -> failure == null ? endOf(response) : "none");
  }

  /** Invokes a function that defers its response; returns where to poll for it. */
  String invokeDeferred(String function, String body) throws Exception {
    return locationOf(invoke(function, body, "Prefer", "respond-async"));
  }

  HttpResponse<String> get(String path, String... headers) throws Exception {
    HttpRequest.Builder builder = request(path).GET();
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return send(builder);
  }

  HttpResponse<String> send(HttpRequest.Builder builder) throws Exception {
    return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Opens a plain connection to the router. */
  Socket connect() throws IOException {
    return new Socket("127.0.0.1", router.port());
  }

  /** How a request ended, or "none" where the response does not say so. */
  static String endOf(HttpResponse<?> response) {
    return response.headers().firstValue("Switchgap-End").orElse("none");
  }

  static String locationOf(HttpResponse<?> response) {
    return response.headers().firstValue("Location").orElseThrow();
  }

  @Override
  public void close() {
    router.close();
  }
}
