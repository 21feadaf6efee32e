package switchgap.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints a router's service levels, or pins a level for a limited time. */
@Command(
    name = "levels",
    mixinStandardHelpOptions = true,
    description = "Shows a router's service levels and their last changes, or pins one for a time.")
final class LevelsCommand implements Callable<Integer> {
  private static final int HTTP_OK = 200;

  @Option(
      names = "--router",
      paramLabel = "<router>",
      defaultValue = "http://127.0.0.1:8080",
      description = "default: ${DEFAULT-VALUE}")
  private String routerUrl;

  @Option(names = "--pin", paramLabel = "<pin>", description = "full, least, most or hold")
  private String pinnedLevel;

  @Option(
      names = "--seconds",
      paramLabel = "<seconds>",
      defaultValue = "600",
      description = "duration of a pin (default: ${DEFAULT-VALUE})")
  private long pinSeconds;

  @Override
  public Integer call() throws IOException, InterruptedException {
    String query = pinnedLevel == null ? "" : "?pin=" + pinnedLevel + "&seconds=" + pinSeconds;
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(routerUrl + "/v1/levels" + query));
    if (pinnedLevel != null) {
      request.POST(HttpRequest.BodyPublishers.noBody());
    }
    HttpResponse<String> response =
        HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
    System.out.print(response.body());
    return response.statusCode() == HTTP_OK ? ExitCode.OK : ExitCode.UNUSABLE_INPUT;
  }
}
