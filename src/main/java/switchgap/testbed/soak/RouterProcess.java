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
import java.util.concurrent.TimeUnit;

/**
 * One router: its configuration, its process and the signals that it gets. A restarted one is a new
 * life.
 */
final class RouterProcess {
  private static final int MAX_SOCKETS = 512;
  private static final int MEMORY_MB = 160;
  private static final long READY_TIMEOUT_NANOS = 30_000_000_000L;
  private static final int HEARTBEAT_TIMEOUT_MILLIS = 2000;
  private static final long POLL_MILLIS = 10;
  private static final String OWN_VIOLATION = "INVARIANT_VIOLATED";
  private static final int EXIT_KILLED = 137;
  private static final int STOP_SECONDS = 8;

  final int index;
  final int port;
  final SystemCallFaults faults;
  private final String run;
  private final String settings;
  private final Path directory;
  private final Path configFile;
  private final SoakRecords records;
  private Process process;
  private String feed;

  /** Number of the process, counted from 1. */
  volatile int life;

  /** Whether clients are to send requests to it. */
  volatile boolean inRotation;

  RouterProcess(
      int index,
      int port,
      String run,
      String settings,
      Path directory,
      Path faultLibrary,
      SoakRecords records)
      throws IOException {
    this.index = index;
    this.port = port;
    this.run = run;
    this.settings = settings;
    this.directory = directory;
    this.configFile = directory.resolve("n" + index + ".json");
    this.records = records;
    this.faults = SystemCallFaults.of(faultLibrary, directory.resolve("n" + index + ".faults"));
  }

  /** Writes the configuration: the event stream's address and the events so far. */
  synchronized void configure(String feedAddress, List<String> events) throws IOException {
    feed = feedAddress;
    String config =
        "{\"name\":\"n"
            + index
            + "\",\"listen\":\"127.0.0.1:"
            + port
            + "\",\"seed\":\""
            + Long.toHexString(System.nanoTime())
            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
            + MEMORY_MB
            + ",\"sockets\":"
            + MAX_SOCKETS
            + "},\"feed\":\""
            + feed
            + "\",\"known\":{\"n\":"
            + events.size()
            + ",\"events\":["
            + String.join(",", events)
            + "]},\"settings\":"
            + settings
            + "}";
    Path next = directory.resolve("n" + index + ".next");
    Files.writeString(next, config);
    Files.move(
        next, configFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts a process; returns at once. */
  synchronized void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(directory.resolve("n" + index + ".log").toFile()));
    builder.environment().putAll(faults.environment());
    builder
        .environment()
        .putAll(
            Map.of(
                "NODE_NAME",
                "n" + index,
                "NODE_LISTEN",
                "127.0.0.1:" + port,
                "NODE_CONFIG",
                configFile.toString(),
                "TMPDIR",
                directory.toString()));
    process = builder.start();
    life++;
  }

  /** Waits until a heartbeat is good, and lets clients come. */
  void awaitReady() throws InterruptedException {
    long startedNanos = System.nanoTime();
    while (!isHealthy()) {
      if (System.nanoTime() - startedNanos > READY_TIMEOUT_NANOS || !process.isAlive()) {
        records.processFaults.add("router " + index + " was not ready, life " + life);
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
    inRotation = true;
  }

  private boolean isHealthy() {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(HEARTBEAT_TIMEOUT_MILLIS);
      socket.getOutputStream().write(BinaryThrift.heartbeat(1));
      return BinaryThrift.readReply(new DataInputStream(socket.getInputStream())).good();
    } catch (IOException e) {
      return false; // it does not listen yet
    }
  }

  /** Sends a signal by its name. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  /** Waits for the end of a process that was told to stop. */
  void awaitStopped() throws InterruptedException {
    if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
      records.processFaults.add("router " + index + " did not end after SIGTERM");
      process.destroyForcibly().waitFor();
    } else if (process.exitValue() != 0) {
      records.processFaults.add(
          "router " + index + " ended with " + process.exitValue() + " after SIGTERM");
    }
  }

  /** Waits for the end of a process that was killed. */
  void awaitKilled() throws InterruptedException {
    process.waitFor();
    if (process.exitValue() != EXIT_KILLED) {
      records.processFaults.add("router " + index + " ended with " + process.exitValue());
    }
  }

  /** Notes a crash, and a bound that was passed. */
  synchronized void check() throws IOException {
    if (!process.isAlive()) {
      records.processFaults.add("router " + index + " crashed with " + process.exitValue());
      return;
    }
    try (var descriptors = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
      long open = descriptors.count();
      if (open > MAX_SOCKETS) {
        records.processFaults.add("router " + index + " holds " + open + " descriptors");
      }
    }
  }

  /** Lines of its log that tell of a rule that its own checks found broken. */
  List<String> ownViolations() throws IOException {
    return Files.readAllLines(directory.resolve("n" + index + ".log"), StandardCharsets.ISO_8859_1)
        .stream()
        .filter(line -> line.contains(OWN_VIOLATION))
        .toList();
  }

  void destroy() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
