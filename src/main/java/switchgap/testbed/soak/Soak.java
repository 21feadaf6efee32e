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

/** One soak run: starts all processes, injects faults, stops all and checks the invariants. */
public final class Soak {
  /**
   * Options of a run.
   *
   * @param seed seed of the faults and the clients
   * @param routers number of router processes
   * @param seconds duration of the load
   * @param profile which faults are injected
   * @param excludedTypes types of faults that are drawn but not injected
   * @param runCommand shell command that starts one router from the root of the repository
   * @param directory directory of the configurations and logs
   */
  public record Options(
      long seed,
      int routers,
      int seconds,
      SoakProfile profile,
      Set<SoakFaultType> excludedTypes,
      String runCommand,
      Path directory) {}

  private static final int WORKER_COUNT = 8;
  private static final int CLIENTS_PER_ROUTER = 3;

  /** Clients of each router in runs with many clients. */
  private static final int CROWD_CLIENTS_PER_ROUTER = 10;

  /** One in this many seeds runs with many clients. */
  private static final int CROWD_SEED_INTERVAL = 4;

  /** With more clients in total, emulated workers read so late that deadlines cannot be checked. */
  private static final int MAX_CROWD_CLIENTS = 100;

  private static final int[] MAX_TIMEOUTS_MILLIS = {3000, 1000, 500};
  private static final int TIMER_THREADS = 4;
  private static final int SETTLE_MILLIS = 2500;
  private static final int MAX_PRINTED_VIOLATIONS = 20;
  private static final Pattern RUN_LINE = Pattern.compile("^run *= *\"(.*)\"$", Pattern.MULTILINE);

  private final Options options;
  private final PrintStream out;
  private final SoakRecords records = new SoakRecords();
  private final ActiveFaults activeFaults = new ActiveFaults();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final List<ServeProcess> routers = new ArrayList<>();
  private final List<ClientEmulator> clients = new ArrayList<>();
  private final List<Thread> clientThreads = new ArrayList<>();

  private Soak(Options options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  /**
   * Reads the command that starts a router.
   *
   * @param deployFile TOML file with a line {@code run = "..."}
   * @return the shell command
   * @throws IOException if the file can't be read or has no such line
   */
  public static String readRunCommand(Path deployFile) throws IOException {
    Matcher line = RUN_LINE.matcher(Files.readString(deployFile));
    if (!line.find()) {
      throw new IOException(deployFile + ": no line of the form run = \"...\"");
    }
    return line.group(1);
  }

  /**
   * Runs a soak.
   *
   * @param options seed, size and faults of the run
   * @param out receives the planned faults, the counts of requests and the violations
   * @return whether all invariants held
   * @throws IOException if a process can't be started or a fault can't be prepared
   * @throws InterruptedException if the thread is interrupted
   */
  public static boolean run(Options options, PrintStream out)
      throws IOException, InterruptedException {
    return new Soak(options, out).execute();
  }

  private boolean execute() throws IOException, InterruptedException {
    List<PlannedFault> faults =
        options.profile.plan(options.seed, options.seconds, options.excludedTypes);
    out.println(
        "seed "
            + options.seed
            + ", "
            + options.routers
            + " routers, "
            + options.seconds
            + " s, timeouts of "
            + maxTimeoutMillis()
            + " ms, "
            + clientsPerRouter()
            + " clients a router");
    faults.forEach(fault -> out.println("  " + fault));
    Thread killRoutersHook = new Thread(() -> routers.forEach(ServeProcess::killIfStarted));
    // Without the hook, routers would outlive a soak run that is interrupted.
    Runtime.getRuntime().addShutdownHook(killRoutersHook);
    try (LoopbackPorts ports = LoopbackPorts.reserve(options.routers);
        EmulatedFleet fleet = new EmulatedFleet(WORKER_COUNT, records, timers);
        EventStreamEmulator eventStream = new EventStreamEmulator(fleet.events())) {
      startRouters(ports, fleet, eventStream);
      startClients();
      injectFaults(
          faults,
          new FaultRunner(routers, fleet, eventStream, records, activeFaults, maxTimeoutMillis()));
      stopClients();
      stopRouters();
      readSelfReportedViolations();
    } finally {
      Runtime.getRuntime().removeShutdownHook(killRoutersHook);
      routers.forEach(ServeProcess::killIfStarted);
      timers.shutdownNow();
    }
    return report();
  }

  /** Longest timeout in the routers' settings, selected by the seed; clients use at most 1 s. */
  private int maxTimeoutMillis() {
    return MAX_TIMEOUTS_MILLIS[Math.floorMod(options.seed, MAX_TIMEOUTS_MILLIS.length)];
  }

  /** Number of clients of each router, selected by the seed. */
  private int clientsPerRouter() {
    boolean isCrowd = Math.floorMod(options.seed, CROWD_SEED_INTERVAL) == 0;
    int perRouter = Math.min(CROWD_CLIENTS_PER_ROUTER, MAX_CROWD_CLIENTS / options.routers);
    return isCrowd ? Math.max(CLIENTS_PER_ROUTER, perRouter) : CLIENTS_PER_ROUTER;
  }

  private void startRouters(
      LoopbackPorts ports, EmulatedFleet fleet, EventStreamEmulator eventStream)
      throws IOException, InterruptedException {
    ServeProcess.LaunchOptions launchOptions =
        new ServeProcess.LaunchOptions(
            options.runCommand, options.directory, SystemCallFaults.compile(options.directory));
    String settings = readSettings();
    long timeoutMicros = TimeUnit.MILLISECONDS.toMicros(maxTimeoutMillis());
    for (int i = 0; i < options.routers; i++) {
      ServeProcess router =
          new ServeProcess(
              i,
              ports.get(i),
              settings.formatted(options.routers, i, timeoutMicros, timeoutMicros),
              launchOptions,
              records);
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
            new ClientEmulator(
                router, records, activeFaults, maxTimeoutMillis(), random.nextLong());
        clients.add(client);
        Thread thread = new Thread(client, "client");
        thread.setDaemon(true);
        thread.start();
        clientThreads.add(thread);
      }
    }
  }

  private void injectFaults(List<PlannedFault> faults, FaultRunner runner)
      throws IOException, InterruptedException {
    List<Thread> faultThreads = new ArrayList<>();
    long startNanos = System.nanoTime();
    for (PlannedFault fault : faults) {
      Sleep.until(startNanos, fault.startMillis());
      Thread thread = new Thread(() -> runner.run(fault), "fault");
      thread.setDaemon(true);
      thread.start();
      faultThreads.add(thread);
    }
    Sleep.until(startNanos, options.seconds * 1000);
    for (Thread thread : faultThreads) {
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

  /** Records the invariant violations that routers detected themselves and logged. */
  private void readSelfReportedViolations() throws IOException {
    for (ServeProcess router : routers) {
      for (String line : router.selfReportedViolations()) {
        records.addProcessFault(
            "router " + router.index() + " logged an invariant violation: " + line);
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
    return records.requests().stream().filter(request -> request.outcome() == outcome).count();
  }

  private void print(Violation violation) {
    out.println("BROKEN " + violation.invariant().soakLabel() + ": " + violation.description());
  }
}
