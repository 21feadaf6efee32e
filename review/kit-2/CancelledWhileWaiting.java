import java.io.IOException;
import java.net.Socket;
import java.net.http.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 10: clients give up while their calls wait in the gateway for a connection to a model server.
 * Half of them delete deferred calls, the others close the connections of synchronous ones.
 */
final class CancelledWhileWaiting {
  static final int CALLS = 16;
  static final int WORKERS = 2;
  static final double WORK_SECONDS = 0.5;

  /** Time after which no execution may begin for a client that has gone. */
  static final double SLACK_SECONDS = 0.1;

  private final Path root;
  private final List<Http.ModelServer> servers = new ArrayList<>();
  private final HttpClient client = Http.client();
  private final Map<String, Double> goneAt = new ConcurrentHashMap<>();
  private int port;

  private CancelledWhileWaiting(Path root) {
    this.root = root;
  }

  public static void main(String[] args) throws Exception {
    Kit.run(Path.of(args[1]), new CancelledWhileWaiting(Path.of(args[0]))::play);
  }

  private boolean play() throws Exception {
    for (int i = 0; i < WORKERS; i++) {
      servers.add(new Http.ModelServer("w" + i, WORK_SECONDS));
    }
    port = Kit.freePort("127.0.0.1");
    Http.writeGatewayPage(port, servers, ", cancels: false", "links: {connections: 2}\n");
    Http.startGateway(root, port, "gateway.log");
    Map<String, String> deferred = new LinkedHashMap<>();
    Map<String, Socket> synchronous = new LinkedHashMap<>();
    for (int i = 0; i < CALLS; i += 2) {
      deferred.put("job-" + i, submitDeferred("job-" + i));
      synchronous.put("job-" + (i + 1), submit("job-" + (i + 1)));
    }
    Kit.sleep(0.2);
    if (Kit.trouble()) {
      for (Map.Entry<String, String> call : deferred.entrySet()) {
        int status =
            client
                .send(
                    Http.request(port, call.getValue()).DELETE().build(),
                    HttpResponse.BodyHandlers.ofString())
                .statusCode();
        Kit.record(call.getKey() + ": deleted, answered " + status);
        if (status == 204) {
          goneAt.put(call.getKey(), Kit.seconds());
        }
      }
      for (Map.Entry<String, Socket> call : synchronous.entrySet()) {
        call.getValue().close();
        goneAt.put(call.getKey(), Kit.seconds());
        Kit.record(call.getKey() + ": the client closed its connection");
      }
    }
    Kit.sleep(6);
    int broken = 0;
    for (Http.ModelServer server : servers) {
      for (Map.Entry<String, Double> execution : server.begunAt.entrySet()) {
        Double gone = goneAt.get(execution.getKey());
        if (gone != null && execution.getValue() > gone + SLACK_SECONDS) {
          broken++;
          Kit.record(
              String.format(
                  Locale.ROOT, "%s: began %.3f s after its client had gone",
                  execution.getKey(), execution.getValue() - gone));
        }
      }
    }
    Kit.record(broken + " executions began for clients that had gone");
    return broken == 0;
  }

  private String submitDeferred(String job) throws IOException, InterruptedException {
    HttpResponse<String> response =
        client.send(
            Http.request(port, "/v1/functions/notice-1/invoke")
                .header("Prefer", "respond-async")
                .POST(HttpRequest.BodyPublishers.ofString(job))
                .build(),
            HttpResponse.BodyHandlers.ofString());
    Kit.record(job + ": sent as deferred, answered " + response.statusCode());
    return response.headers().firstValue("Location").orElseThrow();
  }

  private Socket submit(String job) throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    String request =
        "POST /v1/functions/notice-1/invoke HTTP/1.1\r\nHost: gateway\r\nContent-Length: "
            + job.length() + "\r\n\r\n" + job;
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    Kit.record(job + ": sent");
    return socket;
  }
}
