package switchgap.cli;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** One invoke from the shell, synchronous or deferred. Exit code 0 finished, 3 pushed back, 4 killed, 2 refused. */
@Command(name = "call", description = "Invokes a function once: exit 0 finished, 3 pushed back, 4 killed, 2 refused.", mixinStandardHelpOptions = true) final class CallCommand
    implements Callable<Integer> {
    @Parameters(paramLabel = "FUNCTION") String function;

    @Option(names = "--router", defaultValue = "http://127.0.0.1:8080", description = "default: ${DEFAULT-VALUE}") String router;

    @Option(names = "--body", paramLabel = "TEXT|@FILE", defaultValue = "{\"inputs\":[]}") String body;

    @Option(names = "--customer") String customer;

    @Option(names = "--limit", paramLabel = "MS", description = "time limit in milliseconds") Long limit;

    @Option(names = "--key", description = "fingerprint of the job, sent as Idempotency-Key") String key;

    @Option(names = "--deferred", description = "ask for a deferred answer, then wait for it") boolean deferred;

    @Override public Integer call() throws Exception {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(
            Duration.ofSeconds(5)).build();
        HttpRequest.Builder b = HttpRequest.newBuilder(
            URI.create(router + "/v1/functions/" + function + "/invoke")).header("Content-Type",
                "application/json").POST(
                    body.startsWith("@")
                        ? HttpRequest.BodyPublishers.ofByteArray(
                            Files.readAllBytes(Path.of(body.substring(1))))
                        : HttpRequest.BodyPublishers.ofString(body));
        if (customer != null) { b.header("Switchgap-Customer", customer); }
        if (limit != null) { b.header("Switchgap-Time-Limit", String.valueOf(limit)); }
        if (key != null) { b.header("Idempotency-Key", key); }
        if (deferred) { b.header("Prefer", "respond-async"); }
        HttpResponse<String> r = client.send(b.build(), HttpResponse.BodyHandlers.ofString());
        while (r.statusCode() == 202) {
            String at = r.headers().firstValue("Location").orElseThrow();
            System.err.println("deferred: " + at);
            r = client.send(
                HttpRequest.newBuilder(URI.create(router + at)).header("Prefer", "wait=30").GET().build(),
                HttpResponse.BodyHandlers.ofString());
        }
        System.out.println(r.body());
        return switch (r.headers().firstValue("Switchgap-End").orElse("")) {
            case "finished" -> 0;
            case "pushed-back" -> 3;
            case "killed" -> 4;
            default -> 2;
        };
    }
}
