package switchgap.cli;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows how routers and their planners stand. */
@Command(name = "status", description = "Shows how routers stand: calls, level, planner. 0 when all answer.", mixinStandardHelpOptions = true) final class StatusCommand
    implements Callable<Integer> {
    private static final Duration LONGEST = Duration.ofSeconds(3);

    @Parameters(paramLabel = "URL", arity = "1..*") List<String> routers;

    @Override public Integer call() throws Exception {
        HttpClient client = HttpClient.newBuilder().connectTimeout(LONGEST).build();
        int bad = 0;
        for (String r : routers) {
            try {
                HttpResponse<String> a = client.send(
                    HttpRequest.newBuilder(URI.create(r + "/v1/status")).timeout(LONGEST).build(),
                    HttpResponse.BodyHandlers.ofString());
                System.out.println(
                    r + " " + (a.statusCode() == 200 ? a.body() : "answers " + a.statusCode()));
                bad += a.statusCode() == 200 ? 0 : 1;
            } catch (java.io.IOException | IllegalArgumentException e) {
                System.out.println(r + " does not answer: " + e);
                bad++;
            }
        }
        return bad == 0 ? 0 : 1;
    }
}
