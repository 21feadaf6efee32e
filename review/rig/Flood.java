import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients send hundreds of requests at once on each connection, again and again, and read all
 * that they are sent; usual clients send one request at a time.
 */
final class Flood {
  private static final int SOCKETS = 1024;
  /** With the usual ones under a third of the descriptor limit. */
  private static final int BAD_CONNECTIONS = 120;
  /** So many of the bad connections send requests that can be read; the others bad figures. */
  private static final int READABLE_CONNECTIONS = 12;
  private static final int USUAL_CONNECTIONS = 20;
  private static final int REQUESTS_AT_ONCE = 250;
  private static final int TROUBLE_AFTER_MS = 3000;
  private static final int SECONDS = 70;
  private static final long ALLOW_MS = 1500;
  private static final int USUAL_PAUSE_MS = 100;

  private final Rig.Recorder recorder;
  private final int port;
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong replies = new AtomicLong();
  private final AtomicLong closed = new AtomicLong();
  private final AtomicLong usualAnswers = new AtomicLong();
  private volatile boolean ended;

  private Flood(Rig.Recorder recorder, int port) {
    this.recorder = recorder;
    this.port = port;
  }

  public static void main(String[] args) throws Exception {
    Rig.Recorder recorder = new Rig.Recorder(Path.of(args[2]));
    Rig.Router router = new Rig.Router(Path.of(args[0]), Path.of(args[1]));
    int result = Rig.NOT_RUN;
    try {
      result = new Flood(recorder, router.port).run(router);
    } finally {
      router.end();
      recorder.close();
    }
    System.exit(result);
  }

  private int run(Rig.Router router) throws Exception {
    Rig.Feed feed = new Rig.Feed();
    String[] targets = new String[3];
    for (int i = 0; i < targets.length; i++) {
      Rig.Server server =
          new Rig.Server("m" + i, Rig.listen(50), (connection, id, fields, body) ->
              connection.answer(id, "data", "crowd=0", "done " + id), recorder);
      server.start();
      targets[i] = Rig.target("s-" + i, server.port(), "SERVING");
    }
    feed.events.add(Rig.event(1, true, targets));
    String lanes = "[" + Rig.lane("again", "retryable", "all", 3000, 5000) + "]";
    router.start(Rig.settings(lanes, Map.of()), SOCKETS, feed);
    if (!router.awaitReady()) {
      recorder.line("router not ready: %s", router.log());
      return Rig.NOT_RUN;
    }
    for (int i = 0; i < USUAL_CONNECTIONS; i++) {
      int number = i;
      Rig.daemon("usual" + i, () -> runUsual(new Random(number)));
    }
    Rig.sleep(TROUBLE_AFTER_MS);
    if (Rig.TROUBLE) {
      for (int i = 0; i < BAD_CONNECTIONS; i++) {
        int number = i;
        Rig.daemon("bad" + i, () -> runBad(number < READABLE_CONNECTIONS, new Random(-number)));
      }
    }
    long end = System.nanoTime() + SECONDS * 1_000_000_000L;
    while (System.nanoTime() < end && router.process.isAlive()) {
      Rig.sleep(1000);
      recorder.line("bad clients: %d requests sent, %d replies, %d connections closed by the router;"
          + " usual clients: %d answers", sent.get(), replies.get(), closed.get(),
          usualAnswers.get());
    }
    boolean alive = router.process.isAlive();
    ended = true;
    Rig.sleep(200);
    if (!alive) {
      recorder.line("the router exited with code %d", router.process.exitValue());
    }
    recorder.line("its log:%n%s", router.log());
    recorder.line(alive ? "HELD" : "BROKEN");
    return usualAnswers.get() == 0 ? Rig.NOT_RUN : alive ? Rig.HELD : Rig.BROKEN;
  }

  private static String id(Random random) {
    return String.format("%016x", random.nextLong());
  }

  private void runUsual(Random random) {
    while (!ended) {
      String open = null;
      try (Rig.Client client = new Rig.Client(port)) {
        client.socket.setSoTimeout((int) ALLOW_MS + 600);
        for (int sequence = 1; !ended; sequence++) {
          Rig.sleep(USUAL_PAUSE_MS);
          open = id(random);
          recorder.line("client sends %s", open);
          client.write(
              Rig.Thrift.submit(sequence,
                  Rig.fields("again", open, ALLOW_MS, "7f3a9c21e0b4d655", "1"), new byte[8]));
          Rig.Reply reply = client.read();
          recorder.line("client gets %s for %s", reply.kind, open);
          usualAnswers.incrementAndGet();
          open = null;
        }
      } catch (IOException e) {
        if (open != null) {
          recorder.line("no answer for %s: %s", open, e);
        }
        Rig.sleep(USUAL_PAUSE_MS);
      }
    }
  }

  private void runBad(boolean readable, Random random) {
    while (!ended) {
      try (Rig.Client client = new Rig.Client(port)) {
        Rig.daemon("reader", () -> {
          while (true) {
            client.read();
            replies.incrementAndGet();
          }
        });
        int sequence = 0;
        while (!ended) {
          ByteArrayOutputStream burst = new ByteArrayOutputStream();
          for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            sequence++;
            burst.write(
                Rig.Thrift.submit(sequence, readable
                    ? Rig.fields("again", id(random), ALLOW_MS, "7f3a9c21e0b4d655", "1")
                    : unusable(), new byte[0]));
          }
          client.write(burst.toByteArray());
          sent.addAndGet(REQUESTS_AT_ONCE);
        }
      } catch (IOException e) {
        closed.incrementAndGet();
        Rig.sleep(1);
      }
    }
  }

  /** A request of a class and a tenant that don't exist, without a usable id or figure. */
  private static Map<String, String> unusable() {
    Map<String, String> fields = new LinkedHashMap<>();
    for (String name : new String[] {"service", "ref", "allow", "project", "lookup", "effort", "extras"}) {
      fields.put(name, "x");
    }
    return fields;
  }
}
