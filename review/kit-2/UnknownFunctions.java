import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Case 6: one router of a fleet of 1,920 model servers. Beside the usual clients, four bad clients
 * send requests with ids that no model server knows.
 */
final class UnknownFunctions {
  /** 16 times the 120 model servers of a usual day. */
  static final int WORKERS = 16 * 120;

  static final int USUAL_FUNCTIONS = 60;
  static final int USUAL_CONNECTIONS = 8;
  static final double USUAL_REQUESTS_A_SECOND = 80;
  static final int BAD_CLIENTS = 4;

  /** Requests that a bad client has open at most: what the protocol page allows a connection. */
  static final int OPEN_REQUESTS = 32;

  static final double TROUBLE_FROM = 8;
  static final double TROUBLE_TO = 68;
  static final double END = 74;
  static final double WORK_SECONDS = 0.02;
  static final double LOAD_SECONDS = 0.7;

  private final Path root;
  private final Path directory;
  private final Set<String> known = new HashSet<>();
  private final AtomicLong executed = new AtomicLong();
  private final AtomicLong badSent = new AtomicLong();
  private final Map<String, AtomicLong> badEnds = new ConcurrentSkipListMap<>();
  private final Map<String, AtomicLong> usualEnds = new ConcurrentSkipListMap<>();

  private UnknownFunctions(Path root, Path directory) {
    this.root = root;
    this.directory = directory;
  }

  public static void main(String[] args) throws Exception {
    UnknownFunctions test = new UnknownFunctions(Path.of(args[0]), Path.of(args[1]));
    Kit.run(test.directory, test::play);
  }

  private boolean play() throws Exception {
    Random random = new Random(6);
    List<String> usual = new ArrayList<>();
    for (int i = 0; i < USUAL_FUNCTIONS; i++) {
      usual.add(Kit.hex(random));
    }
    known.addAll(usual);
    String targets = startWorkers(random);
    Kit.Feed feed = new Kit.Feed(1);
    InetSocketAddress router = new InetSocketAddress("127.0.0.1", Kit.freePort("127.0.0.1"));
    Process process = Kit.startRouter(root, router, feed, targets, Settings.of(100, 0));
    Kit.awaitReady(router, process);
    Kit.record(WORKERS + " model servers are listed");
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CONNECTIONS; i++) {
      clients.add(new Kit.Client(router));
    }
    double start = Kit.seconds();
    double next = start;
    double nextReport = start;
    boolean troubled = false;
    while (Kit.seconds() < start + END && process.isAlive()) {
      if (Kit.trouble() && !troubled && Kit.seconds() > start + TROUBLE_FROM) {
        troubled = true;
        for (int i = 0; i < BAD_CLIENTS; i++) {
          Kit.daemon(() -> sendUnknown(router, start + TROUBLE_TO), "bad client").start();
        }
      }
      next += 1 / USUAL_REQUESTS_A_SECOND;
      Kit.sleep(next - Kit.seconds());
      sendUsual(random, usual.get(random.nextInt(USUAL_FUNCTIONS)), clients);
      if (Kit.seconds() > nextReport) {
        nextReport += 1;
        report(process);
      }
    }
    report(process);
    boolean runs = process.isAlive();
    if (!runs) {
      Kit.record("nobody signalled the router, and it exited with " + process.waitFor());
      Kit.recordLog("router.log");
    }
    return runs;
  }

  private void report(Process process) throws IOException {
    Kit.record(
        "usual requests ended " + usualEnds + ", bad requests sent " + badSent + ", ended " + badEnds
            + ", executions " + executed + ", router's memory " + Kit.residentMemory(process));
  }

  private String startWorkers(Random random) throws IOException {
    Kit.Farm farm = new Kit.Farm(this::received);
    int port = Kit.freePort("127.0.0.1");
    StringJoiner targets = new StringJoiner(",");
    for (int i = 0; i < WORKERS; i++) {
      String host = "127.1." + i / 250 + "." + (1 + i % 250);
      Kit.Worker worker =
          new Kit.Worker("s-" + Kit.hex(random).substring(8), new InetSocketAddress(host, port));
      farm.add(worker);
      targets.add(worker.entry("SERVING", 0));
    }
    farm.start();
    return targets.toString();
  }

  private void sendUsual(Random random, String function, List<Kit.Client> clients) {
    Map<String, String> fields = Kit.request(random, function, random.nextDouble() < 0.3);
    try {
      clients
          .get(random.nextInt(clients.size()))
          .submit(fields, new byte[64])
          .thenAccept(
              answer -> {
                count(usualEnds, answer.kind());
                Kit.record(fields.get("ref") + " " + fields.get("service") + ": " + answer.kind());
              });
    } catch (IOException e) {
      count(usualEnds, "not sent");
    }
  }

  /** One bad client: sends at full speed and reads whatever it is sent. */
  private void sendUnknown(InetSocketAddress router, double end) {
    Random random = new Random();
    try {
      Kit.Client client = new Kit.Client(router);
      Semaphore open = new Semaphore(OPEN_REQUESTS);
      while (Kit.seconds() < end && !client.ended) {
        open.acquire();
        badSent.incrementAndGet();
        client
            .submit(Kit.request(random, Kit.hex(random), false), new byte[16])
            .thenAccept(
                answer -> {
                  count(badEnds, answer.kind());
                  open.release();
                });
      }
    } catch (IOException | InterruptedException e) {
      Kit.record("a bad client ended: " + e);
    }
  }

  private static void count(Map<String, AtomicLong> counts, String key) {
    counts.computeIfAbsent(key, k -> new AtomicLong()).incrementAndGet();
  }

  /** A sound model server: knows the usual functions, loads one by order and keeps it. */
  private void received(Kit.Worker worker, Kit.Link link, String[] words, byte[] body) {
    double now = Kit.seconds();
    switch (words[0]) {
      case "DO" -> {
        Double loadedAt = worker.copies.get(Kit.fields(words[2]).get("thing"));
        if (loadedAt == null) {
          link.answer(words[1], "absent", Kit.REPORT, new byte[0]);
        } else {
          executed.incrementAndGet();
          Kit.after(
              Math.max(0, loadedAt - now) + WORK_SECONDS,
              () -> link.answer(words[1], "data", Kit.REPORT, body));
        }
      }
      case "PIN" -> {
        String function = Kit.fields(words[2]).get("thing");
        boolean isOrder = !"0".equals(Kit.fields(words[2]).get("count"));
        if (isOrder && known.contains(function)) {
          worker.copies.putIfAbsent(function, now + LOAD_SECONDS);
        }
        Double loadedAt = worker.copies.get(function);
        if (loadedAt == null) {
          link.answer(words[1], isOrder ? "failed" : "data", "count=0", new byte[0]);
        } else {
          Kit.after(
              Math.max(0, loadedAt - now),
              () -> link.answer(words[1], "data", "count=1", new byte[0]));
        }
      }
      case "UNPIN" -> worker.copies.remove(words[1]);
      case "ECHO", "METER" -> link.answer(words[1], "well", Kit.REPORT, new byte[0]);
      default -> {}
    }
  }
}
