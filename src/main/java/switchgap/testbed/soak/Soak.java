package switchgap.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import switchgap.testbed.soak.FaultPlan.Fault;
import switchgap.testbed.soak.SoakJudge.Violation;

/** One soak run: starts all, plays the faults, stops all, judges. */
public final class Soak {
  /**
   * What is played.
   *
   * @param seed of the faults
   * @param routers processes
   * @param seconds of load
   * @param leftOut kinds of fault that are drawn and not played
   * @param runCommand starts one router, from the root of the repository
   * @param directory for configurations and logs
   */
  public record Options(
      long seed,
      int routers,
      int seconds,
      Set<FaultKind> leftOut,
      String runCommand,
      Path directory) {}

  private static final int WORKERS = 8;
  private static final int CLIENTS_PER_ROUTER = 3;
  private static final int TIMER_THREADS = 4;
  private static final int SETTLE_MILLIS = 2500;
  private static final int MAX_PRINTED = 20;
  private static final Pattern RUN_LINE = Pattern.compile("^run *= *\"(.*)\"$", Pattern.MULTILINE);

  private final Options options;
  private final PrintStream out;
  private final SoakRecords records = new SoakRecords();
  private final ActiveFaults active = new ActiveFaults();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final List<RouterProcess> routers = new ArrayList<>();
  private final List<ClientEmulator> clients = new ArrayList<>();
  private final List<Thread> clientThreads = new ArrayList<>();

  private Soak(Options options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  /** The command that starts a router, as the deploy file has it. */
  public static String runCommand(Path deployFile) throws IOException {
    Matcher line = RUN_LINE.matcher(Files.readString(deployFile));
    if (!line.find()) {
      throw new IOException(deployFile + ": no line run");
    }
    return line.group(1);
  }

  /** Plays a run; true where nothing was broken. */
  public static boolean run(Options options, PrintStream out)
      throws IOException, InterruptedException {
    return new Soak(options, out).play();
  }

  private boolean play() throws IOException, InterruptedException {
    List<Fault> faults = FaultPlan.draw(options.seed, options.seconds, options.leftOut);
    out.println(
        "seed " + options.seed + ", " + options.routers + " routers, " + options.seconds + " s");
    faults.forEach(fault -> out.println("  " + fault));
    Thread ended = new Thread(() -> routers.forEach(RouterProcess::destroy));
    Runtime.getRuntime().addShutdownHook(ended); // whoever ends the soak ends its routers
    try (EmulatedFleet fleet = new EmulatedFleet(WORKERS, records, timers);
        FeedEmulator feed = new FeedEmulator(fleet.events)) {
      startRouters(fleet, feed);
      startClients();
      playFaults(faults, new FaultRunner(routers, fleet, feed, records, active));
      stopClients();
      stopRouters();
      readOwnChecks();
    } finally {
      Runtime.getRuntime().removeShutdownHook(ended);
      routers.forEach(RouterProcess::destroy);
      timers.shutdownNow();
    }
    return report();
  }

  private void startRouters(EmulatedFleet fleet, FeedEmulator feed)
      throws IOException, InterruptedException {
    Path library = SystemCallFaults.compile(options.directory);
    String settings = readSettings();
    int[] ports = freePorts(options.routers);
    for (int i = 0; i < options.routers; i++) {
      RouterProcess router =
          new RouterProcess(
              i,
              ports[i],
              options.runCommand,
              settings.formatted(options.routers, i),
              options.directory,
              library,
              records);
      router.configure(feed.address(), fleet.events);
      router.start();
      routers.add(router);
    }
    for (RouterProcess router : routers) {
      router.awaitReady();
    }
  }

  private static String readSettings() throws IOException {
    try (InputStream in = Soak.class.getResourceAsStream("settings.json")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Free ports, all bound until all are known. */
  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sockets.add(new ServerSocket(0));
    }
    int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private void startClients() {
    Random random = new Random(options.seed);
    for (RouterProcess router : routers) {
      for (int i = 0; i < CLIENTS_PER_ROUTER; i++) {
        ClientEmulator client = new ClientEmulator(router, records, active, random.nextLong());
        clients.add(client);
        Thread thread = new Thread(client, "client");
        thread.setDaemon(true);
        thread.start();
        clientThreads.add(thread);
      }
    }
  }

  private void playFaults(List<Fault> faults, FaultRunner runner)
      throws IOException, InterruptedException {
    List<Thread> threads = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (Fault fault : faults) {
      sleepUntil(startNanos, fault.atMillis());
      Thread thread = new Thread(() -> runner.play(fault), "fault");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    sleepUntil(startNanos, options.seconds * 1000);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static void sleepUntil(long startNanos, int atMillis) throws InterruptedException {
    long left = startNanos + atMillis * 1_000_000L - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }

  private void stopClients() throws InterruptedException {
    clients.forEach(ClientEmulator::stop);
    for (Thread thread : clientThreads) {
      thread.join(SETTLE_MILLIS * 4L);
    }
    Thread.sleep(SETTLE_MILLIS);
  }

  private void stopRouters() throws IOException, InterruptedException {
    for (RouterProcess router : routers) {
      router.check();
      router.signal("TERM");
    }
    for (RouterProcess router : routers) {
      router.awaitStopped();
    }
  }

  /** A router whose own checks found a violation says so in its log. */
  private void readOwnChecks() throws IOException {
    for (RouterProcess router : routers) {
      router
          .ownViolations()
          .forEach(line -> records.processFaults.add("router " + router.index + " says: " + line));
    }
  }

  private boolean report() {
    List<Violation> violations = new SoakJudge(records).judge();
    long served =
        records.requests.stream().filter(each -> each.end == ClientRequest.End.SERVED).count();
    out.println(
        "requests "
            + records.requests.size()
            + ", served "
            + served
            + ", attempts "
            + records.executions.size()
            + ", kills "
            + records.kills.size()
            + ", pauses "
            + records.pauses.size());
    violations.stream().limit(MAX_PRINTED).forEach(each -> out.println("BROKEN " + each));
    out.println(violations.isEmpty() ? "all rules kept" : violations.size() + " violations");
    return violations.isEmpty();
  }
}
