package switchgap.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import switchgap.testbed.soak.FaultPlan.Fault;
import switchgap.testbed.soak.SoakRecords.Span;
import switchgap.testbed.soak.SystemCallFaults.Call;
import switchgap.testbed.soak.SystemCallFaults.ErrorNumber;
import switchgap.testbed.soak.WorkerEmulator.Misbehaviour;

/** Begins and ends faults, each on a thread of its own. */
final class FaultRunner {
  /** Clients go on sending for so long after SIGTERM; the platform's own figure is 0.6 s. */
  private static final int ROTATION_MILLIS = 500;

  /** How long the old address of a moved event stream stays open. */
  private static final int OLD_FEED_MILLIS = 1500;

  private static final int MAX_ROUTERS_AT_ONCE = 4;
  private static final int STAYING_CLIENTS = 250;
  private static final int FLOOD_REQUESTS = 300;
  private static final int ACCEPT_DELAY_MILLIS = 200;
  private static final int SOME_CALLS = 7;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long[] WALL_CLOCK_STEPS_MILLIS = {1000, -1000, 3_600_000, -3_600_000};

  private final List<RouterProcess> routers;
  private final EmulatedFleet fleet;
  private final SoakRecords records;
  private final ActiveFaults active;
  private final Map<FaultKind, Player> players = players();
  private FeedEmulator feed;

  FaultRunner(
      List<RouterProcess> routers,
      EmulatedFleet fleet,
      FeedEmulator feed,
      SoakRecords records,
      ActiveFaults active) {
    this.routers = routers;
    this.fleet = fleet;
    this.feed = feed;
    this.records = records;
    this.active = active;
  }

  /** Plays a fault from its begin to its end. */
  void play(Fault fault) {
    active.begin(fault.kind());
    try {
      Player clientsPlayIt = (each, random) -> Thread.sleep(each.lengthMillis());
      players.getOrDefault(fault.kind(), clientsPlayIt).play(fault, new Random(fault.draw()));
    } catch (IOException e) {
      records.processFaults.add(fault + " was not played: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      active.end(fault.kind());
    }
  }

  /** Plays one kind of fault from its begin to its end. */
  private interface Player {
    void play(Fault fault, Random random) throws IOException, InterruptedException;
  }

  private Map<FaultKind, Player> players() {
    Map<FaultKind, Player> all = new EnumMap<>(FaultKind.class);
    all.put(FaultKind.ROUTER_TERM, (fault, random) -> term(router(random)));
    all.put(FaultKind.ROUTER_KILL, (fault, random) -> kill(random));
    all.put(FaultKind.ROUTER_PAUSE, (fault, random) -> pause(router(random), fault.lengthMillis()));
    all.put(FaultKind.FEED_MOVED, (fault, random) -> moveFeed());
    all.put(FaultKind.FEED_SILENT, (fault, random) -> silenceFeed(fault.lengthMillis()));
    all.put(FaultKind.FEED_CUT, (fault, random) -> cutFeed());
    all.put(FaultKind.FEED_WHOLE_LIST, (fault, random) -> fleet.tellAll());
    all.put(
        FaultKind.WORKER_REPLACED, (fault, random) -> replaceWorker(random, fault.lengthMillis()));
    all.put(FaultKind.WORKER_HANGS, misbehaviour(Misbehaviour.HANGS));
    all.put(FaultKind.WORKER_REJECTS, misbehaviour(Misbehaviour.REJECTS));
    all.put(FaultKind.WORKER_RESETS, misbehaviour(Misbehaviour.RESETS));
    all.put(FaultKind.WORKER_SPOILS_ANSWERS, misbehaviour(Misbehaviour.SPOILS_ANSWERS));
    all.put(FaultKind.WORKER_ANSWERS_TWICE, misbehaviour(Misbehaviour.ANSWERS_TWICE));
    all.put(
        FaultKind.WORKER_CLOSES,
        (fault, random) -> fleet.serving(random.nextInt()).closeConnections());
    all.put(
        FaultKind.WORKER_ACCEPTS_LATE, (fault, random) -> acceptLate(random, fault.lengthMillis()));
    all.put(FaultKind.CLIENT_STAYS, (fault, random) -> stay(router(random), fault.lengthMillis()));
    all.put(FaultKind.CLIENT_FLOOD, (fault, random) -> flood(router(random), fault.lengthMillis()));
    all.put(FaultKind.ACCEPT_FAILS, failure(Call.ACCEPT, ErrorNumber.ENFILE, 1));
    all.put(FaultKind.CONNECT_FAILS, failure(Call.CONNECT, ErrorNumber.EADDRNOTAVAIL, 2));
    all.put(FaultKind.SOCKET_FAILS, failure(Call.SOCKET, ErrorNumber.EMFILE, 2));
    all.put(FaultKind.READ_INTERRUPTED, failure(Call.READ, ErrorNumber.EINTR, SOME_CALLS));
    all.put(FaultKind.WRITE_INTERRUPTED, failure(Call.WRITE, ErrorNumber.EINTR, SOME_CALLS));
    all.put(FaultKind.READ_SHORT, failure(Call.READ, ErrorNumber.SHORT, SOME_CALLS));
    all.put(FaultKind.WRITE_SHORT, failure(Call.WRITE, ErrorNumber.SHORT, SOME_CALLS));
    all.put(FaultKind.WALL_CLOCK_STEP, (fault, random) -> stepWallClock(random));
    return all;
  }

  private Player misbehaviour(Misbehaviour how) {
    return (fault, random) -> misbehave(random, fault, how);
  }

  private Player failure(Call call, ErrorNumber error, int every) {
    return (fault, random) -> failCalls(fault, random, call, error, every);
  }

  private RouterProcess router(Random random) {
    return routers.get(random.nextInt(routers.size()));
  }

  private void term(RouterProcess router) throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.inRotation) {
        return; // it is being restarted
      }
      router.signal("TERM");
      Thread.sleep(ROTATION_MILLIS);
      router.inRotation = false;
      router.awaitStopped();
      restart(router);
    }
  }

  private void kill(Random random) throws IOException, InterruptedException {
    for (int i = random.nextInt(MAX_ROUTERS_AT_ONCE); i >= 0; i--) {
      RouterProcess router = router(random);
      synchronized (router) {
        if (router.inRotation) {
          Span span = new Span(router.index, System.nanoTime());
          records.kills.add(span);
          router.signal("KILL");
          router.inRotation = false;
          router.awaitKilled();
          restart(router);
          span.endNanos = System.nanoTime();
        }
      }
    }
  }

  private void restart(RouterProcess router) throws IOException, InterruptedException {
    router.faults.clear();
    router.configure(currentFeed().address(), fleet.events);
    router.start();
    router.awaitReady();
  }

  private synchronized FeedEmulator currentFeed() {
    return feed;
  }

  private void pause(RouterProcess router, int millis) throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.inRotation) {
        return;
      }
      Span span = new Span(router.index, System.nanoTime());
      records.pauses.add(span);
      router.signal("STOP");
      Thread.sleep(millis);
      router.signal("CONT");
      span.endNanos = System.nanoTime();
    }
  }

  private void moveFeed() throws IOException, InterruptedException {
    FeedEmulator old = currentFeed();
    FeedEmulator moved = new FeedEmulator(fleet.events);
    synchronized (this) {
      feed = moved;
    }
    Span outage = outage();
    for (RouterProcess router : routers) {
      synchronized (router) {
        if (router.inRotation) {
          router.configure(moved.address(), fleet.events);
          router.signal("HUP");
        }
      }
    }
    Thread.sleep(OLD_FEED_MILLIS);
    old.close();
    outage.endNanos = System.nanoTime();
  }

  private Span outage() {
    Span outage = new Span(-1, System.nanoTime());
    records.feedOutages.add(outage);
    return outage;
  }

  private void silenceFeed(int millis) throws InterruptedException {
    FeedEmulator silenced = currentFeed();
    Span outage = outage();
    silenced.silence(true);
    Thread.sleep(millis);
    silenced.silence(false);
    outage.endNanos = System.nanoTime();
  }

  private void cutFeed() {
    Span outage = outage();
    currentFeed().cut();
    outage.endNanos = System.nanoTime();
  }

  private void replaceWorker(Random random, int millis) throws IOException, InterruptedException {
    WorkerEmulator old = fleet.replace(random.nextInt());
    Thread.sleep(millis);
    fleet.remove(old);
  }

  private void misbehave(Random random, Fault fault, Misbehaviour how) throws InterruptedException {
    WorkerEmulator worker = fleet.serving(random.nextInt());
    worker.misbehave(how);
    Thread.sleep(fault.lengthMillis());
    worker.misbehave(Misbehaviour.NONE);
  }

  private void acceptLate(Random random, int millis) throws InterruptedException {
    WorkerEmulator worker = fleet.serving(random.nextInt());
    worker.delayAccepts(ACCEPT_DELAY_MILLIS);
    worker.closeConnections();
    Thread.sleep(millis);
    worker.delayAccepts(0);
  }

  private static void stay(RouterProcess router, int millis)
      throws IOException, InterruptedException {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < STAYING_CLIENTS && router.inRotation; i++) {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(new InetSocketAddress("127.0.0.1", router.port), CONNECT_TIMEOUT_MILLIS);
      }
    } catch (IOException e) {
      Thread.sleep(1); // the router takes no more, or has gone
    }
    Thread.sleep(millis);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private static void flood(RouterProcess router, int millis) throws InterruptedException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", router.port), CONNECT_TIMEOUT_MILLIS);
      socket.setSoTimeout(millis);
      for (int i = 1; i <= FLOOD_REQUESTS; i++) {
        Map<String, String> fields =
            Map.of(
                "service",
                "again",
                "ref",
                String.format("f%015x", System.nanoTime() & 0xfffffffffffL),
                "allow",
                "300",
                "project",
                "shop",
                "lookup",
                String.format("%016x", i));
        socket
            .getOutputStream()
            .write(BinaryThrift.submit(i, fields, "f".getBytes(StandardCharsets.US_ASCII)));
      }
      InputStream in = socket.getInputStream();
      byte[] ignored = new byte[1 << 16];
      for (int read = in.read(ignored); read > 0; read = in.read(ignored)) {
        Thread.sleep(1);
      }
    } catch (IOException e) {
      return; // the router closed the connection, or said all that it had to
    }
  }

  private void failCalls(Fault fault, Random random, Call call, ErrorNumber error, int every)
      throws InterruptedException {
    RouterProcess router = router(random);
    Span outage = new Span(router.index, System.nanoTime());
    if (call == Call.ACCEPT) {
      records.acceptOutages.add(outage);
    }
    router.faults.inject(call, error, every);
    Thread.sleep(fault.lengthMillis());
    router.faults.inject(call, error, 0);
    outage.endNanos = System.nanoTime();
  }

  private void stepWallClock(Random random) {
    long step = WALL_CLOCK_STEPS_MILLIS[random.nextInt(WALL_CLOCK_STEPS_MILLIS.length)];
    router(random).faults.setWallClockOffset(Duration.ofMillis(step));
  }
}
