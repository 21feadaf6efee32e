package switchgap.testbed.soak;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import switchgap.testbed.process.ChildProcess;
import switchgap.testbed.process.ProcessSignal;

/**
 * One router of a soak: its configuration, its {@code serve} process and the signals sent to it. A
 * restart begins a new incarnation at the same port. Whoever signals or restarts it holds its
 * monitor; clients read its state without.
 */
final class ServeProcess {
  /**
   * What all routers of a run have in common.
   *
   * @param command shell command that starts a router
   * @param directory for configurations and logs
   * @param faultLibrary compiled library of {@link SystemCallFaults}
   */
  record Launch(String command, Path directory, Path faultLibrary) {}

  private static final int MAX_SOCKETS = 512;
  private static final int MEMORY_MB = 160;
  private static final long READY_TIMEOUT_NANOS = 30_000_000_000L;
  private static final int HEARTBEAT_TIMEOUT_MILLIS = 2000;
  private static final long POLL_MILLIS = 10;
  private static final int STOP_TIMEOUT_SECONDS = 8;
  private static final int MAX_SIGNAL_INTERVAL_MILLIS = 100;
  private static final List<ProcessSignal> STOPPING_SIGNALS =
      List.of(ProcessSignal.TERM, ProcessSignal.HUP, ProcessSignal.INT);

  /** Name of the log event by which a router reports a violation that it found itself. */
  private static final String SELF_REPORTED_VIOLATION = "INVARIANT_VIOLATED";

  /** Exit code of a process that SIGKILL ended, as a shell reports it. */
  private static final int EXIT_KILLED = 137;

  private final int index;
  private final int port;
  private final SystemCallFaults systemCallFaults;
  private final Launch launch;
  private final String settings;
  private final Path configFile;
  private final Path log;
  private final SoakRecords records;
  private Process process;
  private volatile RouterIncarnation incarnation;
  private volatile boolean inRotation;
  private volatile boolean serving;
  private volatile long killedNanos;

  /**
   * A router that is not started yet.
   *
   * @param index its index, from 0
   * @param port that it listens at
   * @param settings of its policy, as JSON
   */
  ServeProcess(int index, int port, String settings, Launch launch, SoakRecords records)
      throws IOException {
    this.index = index;
    this.port = port;
    this.settings = settings;
    this.launch = launch;
    this.records = records;
    this.configFile = launch.directory().resolve(name() + ".json");
    this.log = launch.directory().resolve(name() + ".log");
    this.incarnation = new RouterIncarnation(index, 0);
    this.systemCallFaults =
        SystemCallFaults.of(launch.faultLibrary(), launch.directory().resolve(name() + ".faults"));
  }

  private String name() {
    return "n" + index;
  }

  int index() {
    return index;
  }

  int port() {
    return port;
  }

  SystemCallFaults systemCallFaults() {
    return systemCallFaults;
  }

  /** The process that was started last. */
  RouterIncarnation incarnation() {
    return incarnation;
  }

  /** Whether clients are to send requests to it. */
  boolean isInRotation() {
    return inRotation;
  }

  /** Clients are to send no more requests to it, until its next incarnation is ready. */
  void takeOutOfRotation() {
    inRotation = false;
    serving = false;
  }

  /** Clients are to open no more connections to it, and may go on sending on open ones. */
  void takeNoNewClients() {
    inRotation = false;
  }

  /** Whether clients may send requests on open connections. */
  boolean isServing() {
    return serving;
  }

  /**
   * Whether a connection that ended at this time was closed by the router: SIGKILL came later, or
   * never.
   */
  boolean closedByItself(long endedNanos) {
    return killedNanos == 0 || endedNanos < killedNanos;
  }

  /** Sends some signals to a process that was asked to stop, one soon after the other. */
  void sendSeries(int count, Random random) throws IOException, InterruptedException {
    for (int i = 0; i < count && process.isAlive(); i++) {
      Thread.sleep(random.nextInt(MAX_SIGNAL_INTERVAL_MILLIS));
      STOPPING_SIGNALS.get(random.nextInt(STOPPING_SIGNALS.size())).send(process);
    }
  }

  /** Sends SIGKILL, unless the process has ended; that must have been with success. */
  void killIfAlive() throws IOException, InterruptedException {
    if (process.isAlive()) {
      killedNanos = System.nanoTime();
      signal(ProcessSignal.KILL);
      process.waitFor();
    } else if (process.exitValue() != 0) {
      fault("ended with " + process.exitValue() + " after SIGTERM");
    }
  }

  /** Replaces the configuration: the event stream's address and the events so far. */
  synchronized void configure(String eventStreamAddress, List<String> events) throws IOException {
    Path next = launch.directory().resolve(name() + ".next");
    Files.writeString(next, config(eventStreamAddress, events));
    Files.move(
        next, configFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  private String config(String eventStreamAddress, List<String> events) {
    return "{\"name\":\""
        + name()
        + "\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"seed\":\""
        + Long.toHexString(System.nanoTime())
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
        + MEMORY_MB
        + ",\"sockets\":"
        + MAX_SOCKETS
        + "},\"feed\":\""
        + eventStreamAddress
        + "\",\"known\":{\"n\":"
        + events.size()
        + ",\"events\":["
        + String.join(",", events)
        + "]},\"settings\":"
        + settings
        + "}";
  }

  /** Starts the next incarnation; returns at once. */
  synchronized void start() throws IOException {
    ProcessBuilder command = new ProcessBuilder("/bin/sh", "-c", launch.command());
    command.environment().putAll(systemCallFaults.environment());
    command
        .environment()
        .putAll(
            Map.of(
                "NODE_NAME",
                name(),
                "NODE_LISTEN",
                "127.0.0.1:" + port,
                "NODE_CONFIG",
                configFile.toString(),
                "TMPDIR",
                launch.directory().toString()));
    process = ChildProcess.start(log, command);
    incarnation = new RouterIncarnation(index, incarnation.number() + 1);
  }

  /** Waits until it reports itself healthy, and takes it into rotation. */
  void awaitReady() throws InterruptedException {
    long startedNanos = System.nanoTime();
    while (!isHealthy()) {
      boolean timedOut = System.nanoTime() - startedNanos > READY_TIMEOUT_NANOS;
      if (timedOut || !process.isAlive()) {
        fault("was not ready, life " + incarnation.number());
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
    killedNanos = 0;
    serving = true;
    inRotation = true;
  }

  private boolean isHealthy() {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(HEARTBEAT_TIMEOUT_MILLIS);
      socket.getOutputStream().write(BinaryThrift.heartbeat(1));
      return BinaryThrift.readReply(new DataInputStream(socket.getInputStream())).healthy();
    } catch (IOException e) {
      return false; // it does not listen yet
    }
  }

  /** Sends a signal to the process. */
  void signal(ProcessSignal signal) throws IOException, InterruptedException {
    signal.send(process);
  }

  /** Waits for the end of a process that was asked to stop. */
  void awaitStopped() throws InterruptedException {
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      fault("did not end after SIGTERM");
      process.destroyForcibly().waitFor();
    } else if (process.exitValue() != 0) {
      fault("ended with " + process.exitValue() + " after SIGTERM");
    }
  }

  /** Waits for the end of a process that was killed. */
  void awaitKilled() throws InterruptedException {
    process.waitFor();
    if (process.exitValue() != EXIT_KILLED) {
      fault("ended with " + process.exitValue());
    }
  }

  /** Records whether the process has crashed or holds too many descriptors. */
  synchronized void checkHealth() throws IOException {
    if (!process.isAlive()) {
      fault("crashed with " + process.exitValue());
      return;
    }
    try (var descriptors = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
      long open = descriptors.count();
      if (open > MAX_SOCKETS) {
        fault("holds " + open + " descriptors");
      }
    }
  }

  private void fault(String description) {
    records.addProcessFault("router " + index + " " + description);
  }

  /** Lines of its log that report a violation of an invariant that it found itself. */
  List<String> selfReportedViolations() throws IOException {
    return Files.readAllLines(log, StandardCharsets.ISO_8859_1).stream()
        .filter(line -> line.contains(SELF_REPORTED_VIOLATION))
        .toList();
  }

  /** Kills the process, where there is one. */
  void destroy() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
