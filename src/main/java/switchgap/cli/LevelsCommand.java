package switchgap.cli;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows a router's levels, or pins one. */
@Command(name = "levels", description = "Shows a router's service levels and their last changes, or pins one for a time.", mixinStandardHelpOptions = true) final class LevelsCommand
    implements Callable<Integer> {
    @Option(names = "--router", defaultValue = "http://127.0.0.1:8080", description = "default: ${DEFAULT-VALUE}") String router;

    @Option(names = "--pin", description = "full, least, most or hold") String pin;

    @Option(names = "--seconds", defaultValue = "600", description = "how long a pin holds (default: ${DEFAULT-VALUE})") long seconds;

    @Override public Integer call() throws Exception {
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create(router + "/v1/levels"
            + (pin == null ? "" : "?pin=" + pin + "&seconds=" + seconds)));
        if (pin != null) { b.POST(HttpRequest.BodyPublishers.noBody()); }
        HttpResponse<
            String> r = HttpClient.newHttpClient().send(b.build(), HttpResponse.BodyHandlers.ofString());
        System.out.print(r.body());
        return r.statusCode() == 200 ? 0 : 2;
    }
}
