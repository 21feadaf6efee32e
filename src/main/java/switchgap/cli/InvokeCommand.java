package switchgap.cli;

import java.io.IOException;
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

/**
 * Invokes a function once, synchronously or deferred, and prints the response body. The exit code
 * is 0 if the request succeeded, 3 if it was rejected, 4 if it failed and 2 if it was invalid.
 */
@Command(
    name = "call",
    mixinStandardHelpOptions = true,
    description = "Invokes a function once: exit 0 succeeded, 3 rejected, 4 failed, 2 invalid.")
final class InvokeCommand implements Callable<Integer> {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final int HTTP_ACCEPTED = 202;

  @Parameters(paramLabel = "FUNCTION")
  private String function;

  @Option(
      names = "--router",
      paramLabel = "<router>",
      defaultValue = "http://127.0.0.1:8080",
      description = "default: ${DEFAULT-VALUE}")
  private String routerUrl;

  @Option(names = "--body", paramLabel = "TEXT|@FILE", defaultValue = "{\"inputs\":[]}")
  private String body;

  @Option(names = "--customer", paramLabel = "<customer>")
  private String tenant;

  @Option(names = "--limit", paramLabel = "MS", description = "timeout in milliseconds")
  private Long timeoutMillis;

  @Option(names = "--key", paramLabel = "<key>", description = "idempotency key of the request")
  private String idempotencyKey;

  @Option(names = "--deferred", description = "ask for a deferred response, then wait for it")
  private boolean deferred;

  @Override
  public Integer call() throws IOException, InterruptedException {
    HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
    HttpResponse<String> response = send(client, invokeRequest());
    while (response.statusCode() == HTTP_ACCEPTED) {
      String location = response.headers().firstValue("Location").orElseThrow();
      System.err.println("deferred: " + location);
      response =
          send(
              client,
              HttpRequest.newBuilder(URI.create(routerUrl + location))
                  .header("Prefer", "wait=30")
                  .GET()
                  .build());
    }
    System.out.println(response.body());
    return exitCode(response.headers().firstValue("Switchgap-End").orElse(""));
  }

  private HttpRequest invokeRequest() throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(routerUrl + "/v1/functions/" + function + "/invoke"))
            .header("Content-Type", "application/json")
            .POST(bodyPublisher());
    if (tenant != null) {
      request.header("Switchgap-Customer", tenant);
    }
    if (timeoutMillis != null) {
      request.header("Switchgap-Time-Limit", String.valueOf(timeoutMillis));
    }
    if (idempotencyKey != null) {
      request.header("Idempotency-Key", idempotencyKey);
    }
    if (deferred) {
      request.header("Prefer", "respond-async");
    }
    return request.build();
  }

  private HttpRequest.BodyPublisher bodyPublisher() throws IOException {
    return body.startsWith("@")
        ? HttpRequest.BodyPublishers.ofByteArray(Files.readAllBytes(Path.of(body.substring(1))))
        : HttpRequest.BodyPublishers.ofString(body);
  }

  private static HttpResponse<String> send(HttpClient client, HttpRequest request)
      throws IOException, InterruptedException {
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static int exitCode(String outcome) {
    return switch (outcome) {
      case "finished" -> ExitCode.OK;
      case "pushed-back" -> ExitCode.REQUEST_REJECTED;
      case "killed" -> ExitCode.REQUEST_FAILED;
      default -> ExitCode.UNUSABLE_INPUT;
    };
  }
}
