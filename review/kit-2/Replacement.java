import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Case 9: six in ten of 3,200 model servers are replaced within 7 s, as on the join day. The control
 * feed tells each change when it happens.
 */
final class Replacement {
  static final int WORKERS = 3200;
  static final double REPLACED_SHARE = 0.6;
  static final double REPLACED_WITHIN = 7;
  static final double DRAIN_SECONDS = 2;
  static final int FUNCTIONS = 300;
  static final int CONNECTIONS = 8;
  static final double REQUESTS_A_SECOND = 170;

  /** The router's share of a core; its configuration states it. */
  static final double CORES = 0.5;

  /** The traffic rises to its full rate within this time. */
  static final double RISE_SECONDS = 25;

  static final double TROUBLE_FROM = 35;
  static final double SENDING_END = 51;
  static final double WORK_SECONDS = 0.02;
  static final double LOAD_SECONDS = 0.7;

  /** An answer is lost half a second after its time; all times are 50 ms longer on sockets. */
  static final double ANSWER_SLACK = 0.55;

  /** A model server with the times of its life. */
  private static final class Server extends Kit.Worker {
    /** When the control feed told that it drains; NaN before. */
    volatile double drainToldAt = Double.NaN;

    Server(String uid, InetSocketAddress address) {
      super(uid, address);
    }
  }

  private final Path root;
  private final Random random = new Random(9);
  private final List<Server> servers = new ArrayList<>();
  private final Map<String, AtomicLong> ends = new ConcurrentSkipListMap<>();
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong lost = new AtomicLong();
  private final AtomicLong sentWhileDraining = new AtomicLong();
  private final AtomicReference<Double> latest = new AtomicReference<>(Double.NEGATIVE_INFINITY);
  private Kit.Farm farm;
  private Kit.Feed feed;

  private Replacement(Path root) {
    this.root = root;
  }

  public static void main(String[] args) throws Exception {
    Kit.run(Path.of(args[1]), new Replacement(Path.of(args[0]))::play);
  }

  private boolean play() throws Exception {
    farm = new Kit.Farm(this::received);
    int port = Kit.freePort("127.0.0.1");
    StringJoiner targets = new StringJoiner(",");
    for (int i = 0; i < WORKERS; i++) {
      servers.add(newServer(new InetSocketAddress("127.1." + i / 250 + "." + (1 + i % 250), port)));
      targets.add(servers.get(i).entry("SERVING", 0));
    }
    farm.start();
    feed = new Kit.Feed(1);
    InetSocketAddress router = new InetSocketAddress("127.0.0.1", Kit.freePort("127.0.0.1"));
    Process process =
        Kit.startRouter(root, router, feed, targets.toString(), Settings.of(100, 0), CORES);
    Kit.limitProcessor(process, CORES);
    Kit.awaitReady(router, process);
    Kit.record(WORKERS + " model servers are listed");
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      clients.add(new Kit.Client(router));
    }
    String[] functions = new String[FUNCTIONS];
    for (int i = 0; i < FUNCTIONS; i++) {
      functions[i] = Kit.hex(random);
    }
    double start = Kit.seconds();
    if (Kit.trouble()) {
      Kit.daemon(() -> replace(start + TROUBLE_FROM), "replacement").start();
    }
    double next = start;
    double nextReport = start;
    while (Kit.seconds() < start + SENDING_END && process.isAlive()) {
      double risen = Math.min(1, (Kit.seconds() - start + 1) / RISE_SECONDS);
      next += 1 / (REQUESTS_A_SECOND * risen);
      Kit.sleep(next - Kit.seconds());
      send(clients.get(random.nextInt(CONNECTIONS)), functions[random.nextInt(FUNCTIONS)]);
      if (Kit.seconds() > nextReport) {
        nextReport += 1;
        report(process);
      }
    }
    Kit.sleep(3 + 5);
    report(process);
    long unanswered = sent.get() - answered.get();
    Kit.record(
        lost + " requests answered more than 0.55 s after their time, " + unanswered
            + " never; the latest came " + latest + " s after its time");
    Kit.recordLog("router.log");
    if (!process.isAlive()) {
      Kit.record("the router exited with " + process.waitFor());
    }
    return lost.get() + unanswered == 0 && process.isAlive();
  }

  private Server newServer(InetSocketAddress address) throws IOException {
    Server server = new Server("s-" + Kit.hex(random).substring(8), address);
    farm.add(server);
    return server;
  }

  private void report(Process process) throws IOException {
    Kit.record(
        "sent " + sent + ", ended " + ends + ", lost " + lost + ", sends more than 0.55 s after a"
            + " drain was told " + sentWhileDraining + ", router: " + Kit.processorSeconds(process)
            + " s of processor time, " + Kit.residentMemory(process));
  }

  private void send(Kit.Client client, String function) throws IOException {
    boolean runsOnce = random.nextDouble() < 0.3;
    Map<String, String> fields = Kit.request(random, function, runsOnce);
    double limit = Kit.seconds() + Double.parseDouble(fields.get("allow")) / 1000;
    sent.incrementAndGet();
    client
        .submit(fields, new byte[64])
        .thenAccept(
            answer -> {
              answered.incrementAndGet();
              double late = answer.at() - limit;
              latest.accumulateAndGet(late, Math::max);
              boolean isLost = late > ANSWER_SLACK || answer.kind().equals("closed");
              lost.addAndGet(isLost ? 1 : 0);
              ends.computeIfAbsent(answer.kind(), k -> new AtomicLong()).incrementAndGet();
              Kit.record(
                  String.format(
                      Locale.ROOT, "%s %s: %s %.3f s %s its time%s",
                      fields.get("ref"), fields.get("service"), answer.kind(), Math.abs(late),
                      late > 0 ? "after" : "before", isLost ? ", LOST" : ""));
            });
  }

  /** Replaces model servers one after another: each drains, a new one starts, the old one ends. */
  private void replace(double at) {
    Kit.sleep(at - Kit.seconds());
    int count = (int) (WORKERS * REPLACED_SHARE);
    Kit.record(count + " model servers are replaced from now on");
    try {
      int port = Kit.freePort("127.0.0.1");
      for (int i = 0; i < count; i++) {
        Kit.sleep(at + REPLACED_WITHIN * i / count - Kit.seconds());
        Server old = servers.get(i);
        Server fresh = newServer(new InetSocketAddress(old.address.getAddress(), port));
        tell(old.entry("DRAINING", 0));
        old.drainToldAt = Kit.seconds();
        tell(fresh.entry("SERVING", System.currentTimeMillis()));
        Kit.after(
            DRAIN_SECONDS,
            () -> {
              farm.end(old);
              tell(old.entry("DELETED", 0));
            });
      }
      Kit.record("the last of them drains");
    } catch (IOException e) {
      Kit.record("replacement: " + e);
    }
  }

  private void tell(String target) {
    feed.tell("{\"rev\":1,\"all\":false,\"targets\":[" + target + "]}");
  }

  /** A sound model server: loads by order, answers `full` and `ill` while it drains. */
  private void received(Kit.Worker worker, Kit.Link link, String[] words, byte[] body) {
    double now = Kit.seconds();
    double drainToldAt = ((Server) worker).drainToldAt;
    boolean drains = !Double.isNaN(drainToldAt);
    boolean isOrder = words[0].equals("PIN") && !"0".equals(Kit.fields(words[2]).get("count"));
    if (drains && now > drainToldAt + ANSWER_SLACK && (isOrder || words[0].equals("DO"))) {
      sentWhileDraining.incrementAndGet();
    }
    switch (words[0]) {
      case "DO" -> {
        Double loadedAt = worker.copies.get(Kit.fields(words[2]).get("thing"));
        if (drains || loadedAt == null) {
          link.answer(words[1], drains ? "full" : "absent", Kit.REPORT, new byte[0]);
        } else {
          Kit.after(
              Math.max(0, loadedAt - now) + WORK_SECONDS,
              () -> link.answer(words[1], "data", Kit.REPORT, body));
        }
      }
      case "PIN" -> {
        String function = Kit.fields(words[2]).get("thing");
        if (isOrder && !drains) {
          worker.copies.putIfAbsent(function, now + LOAD_SECONDS);
        }
        Double loadedAt = worker.copies.get(function);
        if (loadedAt == null) {
          link.answer(words[1], isOrder ? "full" : "data", "count=0", new byte[0]);
        } else {
          Kit.after(
              Math.max(0, loadedAt - now),
              () -> link.answer(words[1], "data", "count=1", new byte[0]));
        }
      }
      case "UNPIN" -> worker.copies.remove(words[1]);
      case "ECHO", "METER" -> link.answer(words[1], drains ? "ill" : "well", Kit.REPORT, new byte[0]);
      default -> {}
    }
  }
}
