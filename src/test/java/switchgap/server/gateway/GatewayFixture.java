package switchgap.server.gateway;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import switchgap.config.YamlDocument;

/** A router over peers, and a client for it. */
final class GatewayFixture implements AutoCloseable {
    static final String TERMS = """
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

    GatewayFixture(String more, HttpTestServer... peers) throws IOException { this(TERMS, more, peers); }

    static GatewayFixture with(String terms, String more, HttpTestServer... peers) throws IOException {
        return new GatewayFixture(terms, more, peers);
    }

    private GatewayFixture(String terms, String more, HttpTestServer... peers) throws IOException {
        StringBuilder s = new StringBuilder(terms).append(more);
        if (!more.contains("listen:")) { s.append("listen: {port: 0}\n"); }
        if (!more.contains("list:")) {
            s.append("list:\n  workers:\n");
            for (int i = 0; i < peers.length; i++) {
                s.append("    - {name: w").append(i).append(", port: ").append(peers[i].port()).append("}\n");
            }
        }
        gateway = new GatewayRouter(GatewayConfig.read(YamlDocument.read("test.yaml", s.toString())));
    }

    HttpRequest.Builder to(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + gateway.port() + path));
    }

    HttpResponse<String> invoke(String function, String body, String... headers) throws Exception {
        return later(function, body, headers).get();
    }

    CompletableFuture<HttpResponse<String>> later(String function, String body, String... headers) {
        HttpRequest.Builder b = to("/v1/functions/" + function + "/invoke").POST(
            HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) { b.headers(headers); }
        return client.sendAsync(b.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String path, String... headers) throws Exception {
        HttpRequest.Builder b = to(path).GET();
        if (headers.length > 0) { b.headers(headers); }
        return client.send(b.build(), HttpResponse.BodyHandlers.ofString());
    }

    static String end(HttpResponse<?> r) { return r.headers().firstValue("Switchgap-End").orElse("none"); }

    static void until(BooleanSupplier holds) throws InterruptedException {
        for (int i = 0; i < 100 && !holds.getAsBoolean(); i++) { Thread.sleep(10); }
        org.assertj.core.api.Assertions.assertThat(holds.getAsBoolean()).isTrue();
    }

    @Override public void close() { gateway.close(); }
}
