import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A keyed request whose connection to its model server is reset shortly before the servers forget
 * it, while new connections to the other server come up late.
 */
final class Twice {
  private static final long SPAN_MS = 2000;
  private static final long DEADLINE_MS = 5000;
  /** Time limits are 50 ms longer on sockets. */
  private static final long SLACK_MS = 50;
  /** How long before the end of the span the connection is reset. */
  private static final long RESET_BEFORE_MS = 70;
  private static final int ROUNDS = 6;
  /** For how long after the reset no connection to the other server comes up. */
  private static final long LATE_MS = 200;

  private record Execution(String server, double atMs) {}

  private final Rig.Recorder recorder;
  private final Map<String, List<Execution>> executions = new ConcurrentHashMap<>();
  /** When each keyed request first came to a model server. */
  private final Map<String, Double> remembered = new ConcurrentHashMap<>();
  private volatile String heldBack;

  private Twice(Rig.Recorder recorder) {
    this.recorder = recorder;
  }

  public static void main(String[] args) throws Exception {
    Rig.Recorder recorder = new Rig.Recorder(Path.of(args[2]));
    Rig.Router router = new Rig.Router(Path.of(args[0]), Path.of(args[1]));
    int result = Rig.NOT_RUN;
    try {
      result = new Twice(recorder).run(router);
    } finally {
      router.end();
      recorder.close();
    }
    System.exit(result);
  }

  /** Runs a request unless the group remembers it, and answers. */
  private void request(Rig.Server server, Rig.ServerConnection connection, String id)
      throws IOException {
    double now = Rig.nowMs();
    Double first = remembered.putIfAbsent(id, now);
    boolean repeat = first != null && now - first <= SPAN_MS;
    recorder.line("%s DO %s %s", server.name, id, repeat ? "dropped as a repeat" : "runs");
    if (!repeat) {
      executions.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>())
          .add(new Execution(server.name, now));
    }
    if (id.equals(heldBack) && first == null) {
      Rig.daemon("reset", () -> {
        Rig.sleep(SPAN_MS - RESET_BEFORE_MS);
        recorder.line("%s resets the connection under %s", server.name, id);
        connection.reset();
      });
      return;
    }
    connection.answer(id, "data", "crowd=0", "done " + id);
  }

  private int run(Rig.Router router) throws Exception {
    Rig.Feed feed = new Rig.Feed();
    Rig.Server[] servers = new Rig.Server[2];
    for (int i = 0; i < servers.length; i++) {
      int index = i;
      // A short backlog, so that a server that accepts nothing soon lets no connection come up.
      servers[i] =
          new Rig.Server("m" + i, Rig.listen(1),
              (connection, id, fields, body) -> request(servers[index], connection, id), recorder);
      servers[i].start();
    }
    feed.events.add(
        Rig.event(1, true, Rig.target("s-0", servers[0].port(), "SERVING"),
            Rig.target("s-1", servers[1].port(), "SERVING")));
    String lanes =
        "[" + Rig.lane("again", "retryable", "all", DEADLINE_MS, SPAN_MS) + ","
            + Rig.lane("keyed", "dedup", "all", DEADLINE_MS, SPAN_MS) + "]";
    router.start(Rig.settings(lanes, Map.of()), 512, feed);
    if (!router.awaitReady()) {
      recorder.line("router not ready");
      return Rig.NOT_RUN;
    }
    Random random = new Random(11);
    // Finds a function for each server whose requests go there first.
    String[] functions = new String[2];
    for (int i = 0; i < 40 && (functions[0] == null || functions[1] == null); i++) {
      String function = id(random);
      String ref = id(random);
      call(router, "again", ref, function);
      String server = executions.get(ref).get(0).server();
      functions[server.equals("m0") ? 0 : 1] = function;
    }
    if (functions[0] == null || functions[1] == null) {
      recorder.line("all functions go to one server first");
      return Rig.NOT_RUN;
    }
    int result = Rig.NOT_RUN;
    for (int round = 0; round < ROUNDS && result != Rig.BROKEN; round++) {
      result = round(router, servers[1], functions, random);
    }
    recorder.line("router's log:%n%s", router.log());
    recorder.line(
        result == Rig.BROKEN ? "BROKEN" : result == Rig.HELD ? "HELD" : "NOT RUN");
    return result;
  }

  private int round(Rig.Router router, Rig.Server other, String[] functions, Random random)
      throws Exception {
    // Until the router has closed its idle connections, as it does after half of ConnIdleUs.
    Rig.sleep(3000);
    String ref = id(random);
    heldBack = Rig.TROUBLE ? ref : null;
    Thread caller = Rig.daemon("caller", () -> call(router, "keyed", ref, functions[0]));
    if (Rig.TROUBLE) {
      double sentAt = Rig.nowMs();
      Rig.sleep(SPAN_MS - 500);
      other.pauseAccepting();
      List<Socket> waiting = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(Rig.LOOPBACK, other.port()), 500);
        waiting.add(socket);
      }
      recorder.line("no connection to %s comes up any more", other.name);
      double untilMs = sentAt + SPAN_MS - RESET_BEFORE_MS + LATE_MS;
      Rig.sleep((long) (untilMs - Rig.nowMs()));
      other.resumeAccepting();
      recorder.line("connections to %s come up again", other.name);
      Rig.sleep(10);
      call(router, "again", id(random), functions[1]);
      for (Socket socket : waiting) {
        socket.close();
      }
    }
    caller.join(DEADLINE_MS + 1000);
    Rig.sleep(300);
    List<Execution> runs = executions.getOrDefault(ref, List.of());
    recorder.line("%s ran %d times: %s", ref, runs.size(), runs);
    if (runs.isEmpty()) {
      return Rig.NOT_RUN;
    }
    boolean broken =
        runs.stream().anyMatch(run -> run.atMs() - runs.get(0).atMs() > SPAN_MS + SLACK_MS);
    return broken ? Rig.BROKEN : Rig.HELD;
  }

  private static String id(Random random) {
    return String.format("%016x", random.nextLong());
  }

  private void call(Rig.Router router, String service, String ref, String function)
      throws IOException {
    try (Rig.Client client = new Rig.Client(router.port)) {
      client.socket.setSoTimeout((int) DEADLINE_MS + 600);
      recorder.line("client sends %s %s for %s", service, ref, function);
      client.write(
          Rig.Thrift.submit(1, Rig.fields(service, ref, DEADLINE_MS, function, "10"), new byte[8]));
      Rig.Reply reply = client.read();
      recorder.line("client gets %s for %s", reply.kind, ref);
    }
  }
}
