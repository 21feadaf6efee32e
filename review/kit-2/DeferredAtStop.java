import java.io.IOException;
import java.net.http.*;
import java.nio.file.*;
import java.util.*;

/**
 * Case 8: a gateway gets SIGTERM while deferred calls of a run-once workload run, and is started
 * again. Their clients ask for the results five times a second until the time limit has passed.
 */
final class DeferredAtStop {
  static final int CALLS = 12;
  static final int WORKERS = 4;
  static final double WORK_SECONDS = 1;
  static final double TIME_LIMIT = 5;
  static final double POLL_SECONDS = 0.2;
  static final Set<String> FINAL_ANSWERS = Set.of("finished", "pushed-back", "killed");

  private final Path root;
  private final List<Http.ModelServer> servers = new ArrayList<>();
  private final HttpClient client = Http.client();

  /** The path at which each accepted call's result is found, and its final answer, by its body. */
  private final Map<String, String> calls = new LinkedHashMap<>();

  private final Map<String, String> answers = new LinkedHashMap<>();
  private int port;

  private DeferredAtStop(Path root) {
    this.root = root;
  }

  public static void main(String[] args) throws Exception {
    Kit.run(Path.of(args[1]), new DeferredAtStop(Path.of(args[0]))::play);
  }

  private boolean play() throws Exception {
    for (int i = 0; i < WORKERS; i++) {
      servers.add(new Http.ModelServer("w" + i, WORK_SECONDS));
    }
    port = Kit.freePort("127.0.0.1");
    Http.writeGatewayPage(port, servers, "", "");
    Process gateway = Http.startGateway(root, port, "gateway.log");
    for (int i = 0; i < CALLS; i++) {
      submit("job-" + i);
    }
    double end = Kit.seconds() + TIME_LIMIT + 1;
    Kit.sleep(0.3);
    boolean restarts = Kit.trouble();
    if (restarts) {
      Kit.signal(gateway, "TERM");
    }
    while (Kit.seconds() < end && answers.size() < CALLS) {
      calls.forEach(this::poll);
      if (restarts && !gateway.isAlive()) {
        restarts = false;
        Kit.record("the gateway exited with " + gateway.exitValue() + " and is started again");
        gateway = Http.startGateway(root, port, "gateway-2.log");
      }
      Kit.sleep(POLL_SECONDS);
    }
    Kit.recordLog("gateway.log");
    int lost = 0;
    for (String job : calls.keySet()) {
      long executions = servers.stream().flatMap(s -> s.executed.stream()).filter(job::equals).count();
      String answer = answers.getOrDefault(job, "none");
      Kit.record(job + ": executions " + executions + ", final answer " + answer);
      lost += FINAL_ANSWERS.contains(answer) ? 0 : 1;
    }
    Kit.record(lost + " of " + calls.size() + " accepted calls got no final answer");
    return lost == 0;
  }

  private void submit(String job) throws IOException, InterruptedException {
    HttpResponse<String> response =
        client.send(
            Http.request(port, "/v1/functions/notice-" + job.hashCode() % 3 + "/invoke")
                .header("Prefer", "respond-async")
                .POST(HttpRequest.BodyPublishers.ofString(job))
                .build(),
            HttpResponse.BodyHandlers.ofString());
    String location = response.headers().firstValue("Location").orElse(null);
    Kit.record(job + ": answered " + response.statusCode() + " " + location);
    if (response.statusCode() == 202) {
      calls.put(job, location);
    }
  }

  private void poll(String job, String path) {
    if (answers.containsKey(job)) {
      return;
    }
    try {
      HttpResponse<String> response =
          client.send(
              Http.request(port, path).GET().build(), HttpResponse.BodyHandlers.ofString());
      String answer = response.headers().firstValue("Switchgap-End").orElse("none");
      Kit.record(job + ": polled, " + response.statusCode() + " " + answer);
      if (FINAL_ANSWERS.contains(answer)) {
        answers.put(job, answer);
      }
    } catch (IOException e) {
      Kit.record(job + ": polled, " + e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
