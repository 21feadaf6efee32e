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

/** Runs a router with test servers as workers, and an HTTP client for it. */
final class GatewayFixture implements AutoCloseable {
  /** A function whose requests are idempotent. */
  static final String IDEMPOTENT = "again-1";

  /** A function whose requests must be executed at most once. */
  static final String NON_IDEMPOTENT = "once-1";

  /** A function whose requests are idempotent if they have an idempotency key. */
  static final String KEYED = "known-1";

  /** Value of the header {@code Switchgap-End} for a request that succeeded. */
  static final String SUCCEEDED = "finished";

  /** Value of the header {@code Switchgap-End} for a request that was rejected. */
  static final String REJECTED = "pushed-back";

  /** Value of the header {@code Switchgap-End} for a request that failed. */
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

  /** Starts a router with {@link #SETTINGS} and these workers. */
  static GatewayFixture start(HttpTestServer... workers) throws IOException {
    return builder().workers(workers).start();
  }

  static Builder builder() {
    return new Builder();
  }

  /** Builds the configuration of a router and starts it. */
  static final class Builder {
    private String settings = SETTINGS;
    private String sections = "";
    private List<HttpTestServer> workers = List.of();

    /** Replaces {@link #SETTINGS}. */
    Builder settings(String yaml) {
      settings = yaml;
      return this;
    }

    /** Adds sections such as {@code listen}; with a section {@code list}, workers are ignored. */
    Builder sections(String yaml) {
      sections = yaml;
      return this;
    }

    /** Sets the workers in the configuration, with the names w0, w1 and so on. */
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
      // The client is created first, since it takes time that would shorten timers which start with
      // the router, such as a pin of the service level.
      HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      return new GatewayFixture(new GatewayRouter(GatewayConfig.read(document)), client);
    }
  }

  GatewayRouter router() {
    return router;
  }

  /** Returns a builder for a request to any path, without a method. */
  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + router.port() + path));
  }

  /** Returns a builder for a request that invokes a function. */
  HttpRequest.Builder invocation(String function, String body) {
    return request("/v1/functions/" + function + "/invoke")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  /** Invokes a function and waits for the response; headers alternate between name and value. */
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

  /** Invokes a function; the result is the outcome of the request, or "none" without a response. */
  CompletableFuture<String> invokeForOutcomeAsync(String function, String body) {
    return invokeAsync(function, body)
        .handle((response, failure) -> failure == null ? outcomeOf(response) : "none");
  }

  /** Invokes a function with a deferred response; returns the path at which to poll for it. */
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

  /** Opens a TCP connection to the router. */
  Socket connect() throws IOException {
    return new Socket("127.0.0.1", router.port());
  }

  /** Returns the value of the header {@code Switchgap-End}, or "none" if the response has none. */
  static String outcomeOf(HttpResponse<?> response) {
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
