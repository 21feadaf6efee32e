import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.http.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/**
 * Case 7: three of ten answers of three model servers are lost. Clients of a fingerprinted workload
 * that are pushed back come back when they are told to, with the same key.
 */
final class PushedBackLate {
  static final int JOBS = 40;
  static final double JOBS_A_SECOND = 2.5;
  static final int WORKERS = 4;
  static final int TROUBLED_WORKERS = 3;
  static final double LOST_SHARE = 0.3;
  static final double WORK_SECONDS = 0.08;

  /** The time for which the model servers together remember a key. */
  static final double MEMORY_SECONDS = 5;

  /** How often a client comes back at most. */
  static final int RETRIES = 1;

  private final Path root;
  private final Random random = new Random(10);
  private final HttpClient client = Http.client();

  /** When each key was first received, and how often its job was executed. */
  private final Map<String, Double> rememberedAt = new HashMap<>();

  private final Map<String, Integer> executions = new ConcurrentSkipListMap<>();
  private int port;

  private PushedBackLate(Path root) {
    this.root = root;
  }

  public static void main(String[] args) throws Exception {
    Kit.run(Path.of(args[1]), new PushedBackLate(Path.of(args[0]))::play);
  }

  /** A model server that drops a repeat of a key that the group remembers. */
  private final class KeyedServer extends Http.ModelServer {
    private final boolean losesAnswers;

    KeyedServer(String name, boolean losesAnswers) throws IOException {
      super(name, WORK_SECONDS);
      this.losesAnswers = losesAnswers;
    }

    @Override
    void infer(HttpExchange exchange, String path, String body) throws IOException {
      String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
      boolean executes;
      boolean losesAnswer;
      synchronized (rememberedAt) {
        Double first = rememberedAt.get(key);
        executes = first == null || Kit.seconds() > first + MEMORY_SECONDS;
        if (executes) {
          rememberedAt.put(key, Kit.seconds());
          executions.merge(key, 1, Integer::sum);
        }
        losesAnswer = losesAnswers && first == null && random.nextDouble() < LOST_SHARE;
      }
      Kit.record(
          name + " received " + key + ": " + (executes ? "executes it" : "drops the repeat")
              + (losesAnswer ? ", its answer is lost" : ""));
      if (losesAnswer) {
        return; // the connection stays open and silent
      }
      Kit.sleep(workSeconds);
      reply(exchange, 200, "done " + body);
    }
  }

  private boolean play() throws Exception {
    List<Http.ModelServer> servers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      servers.add(new KeyedServer("w" + i, Kit.trouble() && i < TROUBLED_WORKERS));
    }
    port = Kit.freePort("127.0.0.1");
    Http.writeGatewayPage(
        port, servers,
        "{start_target: 400ms, time_limit: 5s, importance: 9, late_share: 0.2,"
            + " repeat: fingerprinted, group: all, memory_span: 5s}",
        "", "");
    Http.startGateway(root, port, "gateway.log");
    List<CompletableFuture<Void>> ends = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String key = "key-" + i;
      ends.add(send(i, key, 0));
      Kit.sleep(1 / JOBS_A_SECOND);
    }
    for (CompletableFuture<Void> end : ends) {
      end.get(15, TimeUnit.SECONDS);
    }
    int twice = 0;
    for (Map.Entry<String, Integer> job : executions.entrySet()) {
      if (job.getValue() > 1) {
        twice++;
        Kit.record(job.getKey() + " was executed " + job.getValue() + " times");
      }
    }
    Kit.record(twice + " of " + JOBS + " jobs were executed more than once");
    return twice == 0;
  }

  private CompletableFuture<Void> send(int job, String key, int retry) {
    double sentAt = Kit.seconds();
    Kit.record(key + ": sent" + (retry == 0 ? "" : " again"));
    HttpRequest request =
        Http.request(port, "/v1/functions/notice-" + job % 5 + "/invoke")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(key))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenCompose(
            response -> {
              String end = response.headers().firstValue("Switchgap-End").orElse("none");
              String back = response.headers().firstValue("Switchgap-Come-Back").orElse("none");
              boolean harmless = response.body().contains("\"repeat_harmless\":true");
              Kit.record(
                  String.format(
                      Locale.ROOT, "%s: %d %s after %.3f s, come back after %s ms, repeat harmless: %s",
                      key, response.statusCode(), end, Kit.seconds() - sentAt, back, harmless));
              if (!end.equals("pushed-back") || !harmless || retry == RETRIES) {
                return CompletableFuture.completedFuture(null);
              }
              CompletableFuture<Void> again = new CompletableFuture<>();
              double wait = back.equals("none") ? 0 : Double.parseDouble(back) / 1000;
              Kit.after(wait, () -> send(job, key, retry + 1).thenAccept(again::complete));
              return again;
            });
  }
}
