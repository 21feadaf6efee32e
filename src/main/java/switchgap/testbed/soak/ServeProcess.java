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
 * One router of a soak run: its configuration, its {@code serve} process and the signals sent to
 * it. A restart starts a new incarnation at the same port. A thread that sends signals or restarts
 * the router must hold its monitor; clients read its state without the monitor.
 */
final class ServeProcess {
  /**
   * Options that all routers of a run share.
   *
   * @param command shell command that starts a router
   * @param directory directory of the configurations and logs
   * @param systemCallFaultLibrary compiled library of {@link SystemCallFaults}
   */
  record LaunchOptions(String command, Path directory, Path systemCallFaultLibrary) {}

  private static final int MAX_SOCKETS = 512;
  private static final int MEMORY_MB = 160;
  private static final long READY_TIMEOUT_NANOS = 30_000_000_000L;
  private static final int HEARTBEAT_TIMEOUT_MILLIS = 2000;
  private static final long POLL_PERIOD_MILLIS = 10;
  private static final int STOP_TIMEOUT_SECONDS = 8;
  private static final int MAX_SIGNAL_INTERVAL_MILLIS = 100;
  private static final List<ProcessSignal> FURTHER_SIGNALS =
      List.of(ProcessSignal.TERM, ProcessSignal.HUP, ProcessSignal.INT);

  /** Name of the log event that reports an invariant violation which the router detected itself. */
  private static final String VIOLATION_EVENT = "INVARIANT_VIOLATED";

  /** Exit code of a process that SIGKILL terminated: 128 plus the signal number. */
  private static final int SIGKILL_EXIT_CODE = 137;

  private final int index;
  private final int port;
  private final SystemCallFaults systemCallFaults;
  private final LaunchOptions options;
  private final String settings;
  private final Path configFile;
  private final Path log;
  private final SoakRecords records;
  private Process process;
  private volatile RouterIncarnation incarnation;
  private volatile boolean inRotation;
  private volatile boolean serving;
  private volatile long killedNanos;

  /** Creates a router that is not started; {@code settings} are those of its policy, as JSON. */
  ServeProcess(int index, int port, String settings, LaunchOptions options, SoakRecords records)
      throws IOException {
    this.index = index;
    this.port = port;
    this.settings = settings;
    this.options = options;
    this.records = records;
    this.configFile = options.directory().resolve(name() + ".json");
    this.log = options.directory().resolve(name() + ".log");
    this.incarnation = new RouterIncarnation(index, 0);
    this.systemCallFaults =
        SystemCallFaults.of(
            options.systemCallFaultLibrary(), options.directory().resolve(name() + ".faults"));
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

  /** The most recently started process. */
  RouterIncarnation incarnation() {
    return incarnation;
  }

  /** Whether clients may open connections to the router. */
  boolean isInRotation() {
    return inRotation;
  }

  /** Stops all requests of clients until the next incarnation is ready. */
  void takeOutOfRotation() {
    inRotation = false;
    serving = false;
  }

  /** Stops new connections of clients; they may continue to send on open ones. */
  void stopNewConnections() {
    inRotation = false;
  }

  /** Whether clients may send requests on open connections. */
  boolean isServing() {
    return serving;
  }

  /** Whether no SIGKILL had been sent when a connection ended, so that the router closed it. */
  boolean endedBeforeKill(long connectionEndedNanos) {
    return killedNanos == 0 || connectionEndedNanos < killedNanos;
  }

  /** Sends random signals at random intervals to a process that received SIGTERM. */
  void sendFurtherSignals(int count, Random random) throws IOException, InterruptedException {
    for (int i = 0; i < count && process.isAlive(); i++) {
      Thread.sleep(random.nextInt(MAX_SIGNAL_INTERVAL_MILLIS));
      FURTHER_SIGNALS.get(random.nextInt(FURTHER_SIGNALS.size())).send(process);
    }
  }

  /** Sends SIGKILL if the process is alive; otherwise its exit code must be 0. */
  void killIfAlive() throws IOException, InterruptedException {
    if (process.isAlive()) {
      killedNanos = System.nanoTime();
      signal(ProcessSignal.KILL);
      process.waitFor();
    } else if (process.exitValue() != 0) {
      recordFault("exited with code " + process.exitValue() + " after SIGTERM");
    }
  }

  /** Replaces the configuration file; the events so far become the initial endpoint list. */
  synchronized void configure(String eventStreamAddress, List<String> events) throws IOException {
    Path newFile = options.directory().resolve(name() + ".next");
    Files.writeString(newFile, config(eventStreamAddress, events));
    Files.move(
        newFile, configFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
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

  /** Starts the next incarnation without waiting until it is ready. */
  synchronized void start() throws IOException {
    ProcessBuilder command = new ProcessBuilder("/bin/sh", "-c", options.command());
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
                options.directory().toString()));
    process = ChildProcess.start(log, command);
    incarnation = new RouterIncarnation(index, incarnation.number() + 1);
  }

  /** Waits until the router reports itself healthy and adds it to the rotation. */
  void awaitReady() throws InterruptedException {
    long startedNanos = System.nanoTime();
    while (!isHealthy()) {
      boolean timedOut = System.nanoTime() - startedNanos > READY_TIMEOUT_NANOS;
      if (timedOut || !process.isAlive()) {
        recordFault(
            "exited or did not become healthy within 30 s of starting process "
                + incarnation.number());
        return;
      }
      Thread.sleep(POLL_PERIOD_MILLIS);
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
      // The router does not listen or does not respond yet.
      return false;
    }
  }

  void signal(ProcessSignal signal) throws IOException, InterruptedException {
    signal.send(process);
  }

  /** Waits until the process exits after SIGTERM; kills it if it takes too long. */
  void awaitStopped() throws InterruptedException {
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      recordFault("did not exit within " + STOP_TIMEOUT_SECONDS + " s of SIGTERM");
      process.destroyForcibly().waitFor();
    } else if (process.exitValue() != 0) {
      recordFault("exited with code " + process.exitValue() + " after SIGTERM");
    }
  }

  /** Waits until the process exits after SIGKILL. */
  void awaitKilled() throws InterruptedException {
    process.waitFor();
    if (process.exitValue() != SIGKILL_EXIT_CODE) {
      recordFault(
          "exited with code "
              + process.exitValue()
              + ", expected "
              + SIGKILL_EXIT_CODE
              + " after SIGKILL");
    }
  }

  /** Records a fault if the process has exited or has too many open file descriptors. */
  synchronized void checkHealth() throws IOException {
    if (!process.isAlive()) {
      recordFault("exited unexpectedly with code " + process.exitValue());
      return;
    }
    try (var descriptors = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
      long openDescriptors = descriptors.count();
      if (openDescriptors > MAX_SOCKETS) {
        recordFault(
            "has " + openDescriptors + " open file descriptors, its limit is " + MAX_SOCKETS);
      }
    }
  }

  private void recordFault(String description) {
    records.addProcessFault("router " + index + " " + description);
  }

  /** Returns the lines of its log that report invariant violations. */
  List<String> selfReportedViolations() throws IOException {
    return Files.readAllLines(log, StandardCharsets.ISO_8859_1).stream()
        .filter(line -> line.contains(VIOLATION_EVENT))
        .toList();
  }

  void killIfStarted() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
