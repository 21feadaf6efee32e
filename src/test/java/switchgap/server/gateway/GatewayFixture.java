package switchgap.server.gateway;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import switchgap.config.YamlDocument;

/** A router whose workers are test servers, and a client of it. */
final class GatewayFixture implements AutoCloseable {
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
  final GatewayRouter gateway;
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  GatewayFixture(String sections, HttpTestServer... workers) throws IOException {
    this(SETTINGS, sections, workers);
  }

  static GatewayFixture with(String settings, String sections, HttpTestServer... workers)
      throws IOException {
    return new GatewayFixture(settings, sections, workers);
  }

  private GatewayFixture(String settings, String sections, HttpTestServer... workers)
      throws IOException {
    StringBuilder text = new StringBuilder(settings).append(sections);
    if (!sections.contains("listen:")) {
      text.append("listen: {port: 0}\n");
    }
    if (!sections.contains("list:")) {
      text.append("list:\n  workers:\n");
      for (int i = 0; i < workers.length; i++) {
        text.append("    - {name: w")
            .append(i)
            .append(", port: ")
            .append(workers[i].port())
            .append("}\n");
      }
    }
    gateway =
        new GatewayRouter(GatewayConfig.read(YamlDocument.read("test.yaml", text.toString())));
  }

  HttpRequest.Builder to(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + gateway.port() + path));
  }

  HttpResponse<String> invoke(String function, String body, String... headers) throws Exception {
    return later(function, body, headers).get();
  }

  CompletableFuture<HttpResponse<String>> later(String function, String body, String... headers) {
    HttpRequest.Builder builder =
        to("/v1/functions/" + function + "/invoke").POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> get(String path, String... headers) throws Exception {
    HttpRequest.Builder builder = to(path).GET();
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
  }

  static String end(HttpResponse<?> response) {
    return response.headers().firstValue("Switchgap-End").orElse("none");
  }

  @Override
  public void close() {
    gateway.close();
  }
}
