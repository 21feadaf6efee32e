package switchgap.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the status of routers and of their planners. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows the status of routers: requests, level, planner. 0 when all respond.")
final class StatusCommand implements Callable<Integer> {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int HTTP_OK = 200;

  @Parameters(paramLabel = "URL", arity = "1..*")
  private List<String> routerUrls;

  @Override
  public Integer call() throws InterruptedException {
    HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    boolean allHealthy = true;
    for (String url : routerUrls) {
      allHealthy &= printStatus(client, url);
    }
    return allHealthy ? ExitCode.OK : ExitCode.FAILURE;
  }

  /** Prints the status of one router; returns false if the router did not respond with HTTP 200. */
  private static boolean printStatus(HttpClient client, String url) throws InterruptedException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create(url + "/v1/status")).timeout(TIMEOUT).build();
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      boolean isHealthy = response.statusCode() == HTTP_OK;
      System.out.println(
          url
              + " "
              + (isHealthy
                  ? response.body()
                  : "responded with HTTP status " + response.statusCode()));
      return isHealthy;
    } catch (IOException | IllegalArgumentException e) {
      System.out.println(url + " did not respond: " + e);
      return false;
    }
  }
}
