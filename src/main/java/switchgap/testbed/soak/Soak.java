package switchgap.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
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
import switchgap.testbed.invariant.Violation;
import switchgap.testbed.process.LoopbackPorts;
import switchgap.testbed.process.ProcessSignal;

/** One soak run: starts all processes, plays the faults, stops all and checks the invariants. */
public final class Soak {
  /**
   * What is run.
   *
   * @param seed of the faults and the clients
   * @param routers number of router processes
   * @param seconds length of the load
   * @param profile which faults are played
   * @param leftOut types of faults that are drawn and not played
   * @param runCommand shell command that starts one router from the root of the repository
   * @param directory for configurations and logs
   */
  public record Options(
      long seed,
      int routers,
      int seconds,
      SoakProfile profile,
      Set<SoakFaultType> leftOut,
      String runCommand,
      Path directory) {}

  private static final int WORKERS = 8;
  private static final int CLIENTS_PER_ROUTER = 3;
  private static final int CROWD_PER_ROUTER = 10;
  private static final int SEEDS_PER_CROWD = 4;

  /** Of a crowd: with more, emulated workers read so late that deadlines cannot be judged. */
  private static final int MAX_CLIENTS = 100;

  private static final int[] TIMEOUTS_MILLIS = {3000, 1000, 500};
  private static final int TIMER_THREADS = 4;
  private static final int SETTLE_MILLIS = 2500;
  private static final int MAX_PRINTED_VIOLATIONS = 20;
  private static final Pattern RUN_LINE = Pattern.compile("^run *= *\"(.*)\"$", Pattern.MULTILINE);

  private final Options options;
  private final PrintStream out;
  private final SoakRecords records = new SoakRecords();
  private final ActiveFaults active = new ActiveFaults();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final List<ServeProcess> routers = new ArrayList<>();
  private final List<ClientEmulator> clients = new ArrayList<>();
  private final List<Thread> clientThreads = new ArrayList<>();

  private Soak(Options options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  /**
   * The command that starts a router.
   *
   * @param deployFile a deploy file, of which the line {@code run} is read
   * @throws IOException if there is no such file or line
   */
  public static String runCommand(Path deployFile) throws IOException {
    Matcher line = RUN_LINE.matcher(Files.readString(deployFile));
    if (!line.find()) {
      throw new IOException(deployFile + ": no line run");
    }
    return line.group(1);
  }

  /**
   * Runs a soak.
   *
   * @param options what is run
   * @param out receives the plan, the figures and the violations
   * @return whether all invariants held
   * @throws IOException if a process can't be started or a fault can't be prepared
   * @throws InterruptedException if the thread is interrupted
   */
  public static boolean run(Options options, PrintStream out)
      throws IOException, InterruptedException {
    return new Soak(options, out).play();
  }

  private boolean play() throws IOException, InterruptedException {
    List<PlannedFault> faults =
        options.profile.plan(options.seed, options.seconds, options.leftOut);
    out.println(
        "seed "
            + options.seed
            + ", "
            + options.routers
            + " routers, "
            + options.seconds
            + " s, timeouts of "
            + timeoutMillis()
            + " ms, "
            + clientsPerRouter()
            + " clients a router");
    faults.forEach(fault -> out.println("  " + fault));
    Thread killRouters = new Thread(() -> routers.forEach(ServeProcess::destroy));
    Runtime.getRuntime().addShutdownHook(killRouters); // a soak that is stopped leaves no routers
    try (EmulatedFleet fleet = new EmulatedFleet(WORKERS, records, timers);
        EventStreamEmulator eventStream = new EventStreamEmulator(fleet.events())) {
      startRouters(fleet, eventStream);
      startClients();
      playFaults(
          faults, new FaultRunner(routers, fleet, eventStream, records, active, timeoutMillis()));
      stopClients();
      stopRouters();
      readSelfReportedViolations();
    } finally {
      Runtime.getRuntime().removeShutdownHook(killRouters);
      routers.forEach(ServeProcess::destroy);
      timers.shutdownNow();
    }
    return report();
  }

  /** The longest timeout of requests: one seed in three has a short one, one a long one. */
  private int timeoutMillis() {
    return TIMEOUTS_MILLIS[Math.floorMod(options.seed, TIMEOUTS_MILLIS.length)];
  }

  /** One seed in four has a crowd of clients. */
  private int clientsPerRouter() {
    boolean isCrowd = Math.floorMod(options.seed, SEEDS_PER_CROWD) == 0;
    int perRouter = Math.min(CROWD_PER_ROUTER, MAX_CLIENTS / options.routers);
    return isCrowd ? Math.max(CLIENTS_PER_ROUTER, perRouter) : CLIENTS_PER_ROUTER;
  }

  private void startRouters(EmulatedFleet fleet, EventStreamEmulator eventStream)
      throws IOException, InterruptedException {
    ServeProcess.Launch launch =
        new ServeProcess.Launch(
            options.runCommand, options.directory, SystemCallFaults.compile(options.directory));
    String settings = readSettings();
    long micros = TimeUnit.MILLISECONDS.toMicros(timeoutMillis());
    int[] ports = LoopbackPorts.free(options.routers);
    for (int i = 0; i < options.routers; i++) {
      ServeProcess router =
          new ServeProcess(
              i, ports[i], settings.formatted(options.routers, i, micros, micros), launch, records);
      router.configure(eventStream.address(), fleet.events());
      router.start();
      routers.add(router);
    }
    for (ServeProcess router : routers) {
      router.awaitReady();
    }
  }

  private static String readSettings() throws IOException {
    try (InputStream input = Soak.class.getResourceAsStream("settings.json")) {
      return new String(input.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private void startClients() {
    Random random = new Random(options.seed);
    for (ServeProcess router : routers) {
      for (int i = 0; i < clientsPerRouter(); i++) {
        ClientEmulator client =
            new ClientEmulator(router, records, active, timeoutMillis(), random.nextLong());
        clients.add(client);
        Thread thread = new Thread(client, "client");
        thread.setDaemon(true);
        thread.start();
        clientThreads.add(thread);
      }
    }
  }

  private void playFaults(List<PlannedFault> faults, FaultRunner runner)
      throws IOException, InterruptedException {
    List<Thread> threads = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (PlannedFault fault : faults) {
      Sleep.until(startNanos, fault.startMillis());
      Thread thread = new Thread(() -> runner.play(fault), "fault");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    Sleep.until(startNanos, options.seconds * 1000);
    for (Thread thread : threads) {
      thread.join();
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
    for (ServeProcess router : routers) {
      router.checkHealth();
      router.signal(ProcessSignal.TERM);
    }
    for (ServeProcess router : routers) {
      router.awaitStopped();
    }
  }

  /** A router that finds a violation itself logs it. */
  private void readSelfReportedViolations() throws IOException {
    for (ServeProcess router : routers) {
      for (String line : router.selfReportedViolations()) {
        records.addProcessFault("router " + router.index() + " says: " + line);
      }
    }
  }

  private boolean report() {
    List<Violation> violations = SoakChecker.check(records);
    out.println(
        "requests "
            + records.requests().size()
            + ", served "
            + count(ObservedRequest.Outcome.SERVED)
            + ", rejected "
            + count(ObservedRequest.Outcome.REJECTED)
            + ", failed "
            + count(ObservedRequest.Outcome.FAILED)
            + ", cancelled "
            + count(ObservedRequest.Outcome.CANCELLED)
            + ", attempts "
            + records.attempts().size()
            + ", kills "
            + records.outages(OutageCause.ROUTER_KILLED).size()
            + ", pauses "
            + records.outages(OutageCause.ROUTER_PAUSED).size());
    violations.stream().limit(MAX_PRINTED_VIOLATIONS).forEach(this::print);
    out.println(violations.isEmpty() ? "all rules kept" : violations.size() + " violations");
    return violations.isEmpty();
  }

  private long count(ObservedRequest.Outcome outcome) {
    return records.requests().stream().filter(each -> each.outcome() == outcome).count();
  }

  private void print(Violation violation) {
    out.println("BROKEN " + violation.invariant().soakLabel() + ": " + violation.description());
  }
}
