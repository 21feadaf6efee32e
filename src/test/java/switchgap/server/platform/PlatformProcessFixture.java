package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;

/** Runs a router as a separate process with scripted clients, workers and an event stream. */
abstract class PlatformProcessFixture extends PlatformFixture {
  private static final int MAX_CONNECT_ATTEMPTS = 50;
  private static final long CONNECT_INTERVAL_MILLIS = 20;
  private static final long EXIT_TIMEOUT_SECONDS = 5;
  private static final String SERVING_MESSAGE = " serves at ";

  Path configFile;
  Process process;

  /** Additional environment variables of the process. */
  final Map<String, String> environmentVariables = new HashMap<>();

  /** JVM options of the process. */
  String jvmOptions = "-XX:TieredStopAtLevel=1";

  private Path logFile;

  @BeforeEach
  void chooseFiles() {
    configFile = directory.resolve("config.json");
    logFile = directory.resolve("log");
  }

  /** The JVM options in the deployment's command, without the jar and its arguments. */
  static String deployedJvmOptions() throws IOException {
    String deployment = Files.readString(Path.of("deploy", "balancer.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) -jar ").matcher(deployment);
    assertThat(run.find()).isTrue();
    return run.group(1);
  }

  static void runShell(String command) throws IOException, InterruptedException {
    assertThat(new ProcessBuilder("sh", "-c", command).inheritIO().start().waitFor())
        .as(command)
        .isZero();
  }

  /** Writes a configuration file for the given workers and starts a router with it. */
  void startProcess(int maxSockets, RespTestServer... workers) throws IOException {
    Files.writeString(configFile, configJson(maxSockets, workers));
    startProcess("");
  }

  /**
   * Starts a router as it is deployed, in a fleet of many workers, which are all the same server.
   */
  void startDeployedProcess(int maxSockets, int workerCount, RespTestServer worker)
      throws IOException {
    jvmOptions = deployedJvmOptions();
    settings = settings.replace("\"Balancers\":1,", "\"Balancers\":100,");
    RespTestServer[] workers = new RespTestServer[workerCount];
    Arrays.fill(workers, worker);
    startProcess(maxSockets, workers);
  }

  /**
   * Starts a router with the existing configuration file.
   *
   * @param shellPrefix commands that the shell runs before the router
   */
  void startProcess(String shellPrefix) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                "exec",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                jvmOptions,
                "-cp",
                "'" + System.getProperty("java.class.path") + "'",
                "switchgap.cli.Main",
                "serve"));
    ProcessBuilder builder =
        new ProcessBuilder("sh", "-c", shellPrefix + String.join(" ", command))
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile());
    Map<String, String> environment = builder.environment();
    environment.put("NODE_NAME", "n1");
    environment.put("NODE_LISTEN", "127.0.0.1:0");
    environment.put("NODE_CONFIG", configFile.toString());
    environment.putAll(environmentVariables);
    process = builder.start();
    resources.add(() -> process.destroyForcibly().waitFor());
  }

  /** The output of the process so far. */
  String processLog() {
    try {
      return Files.readString(logFile);
    } catch (IOException e) {
      return ""; // the log file does not exist yet
    }
  }

  /** Sends a signal, named without SIG, to the process. */
  void signal(String name) throws Exception {
    runShell("kill -" + name + " " + process.pid());
  }

  /**
   * Suspends the process and returns when all its threads are stopped. {@code kill} alone returns
   * earlier, up to some milliseconds on a busy machine, so the process could still handle a
   * request.
   */
  void suspend() throws Exception {
    signal("STOP");
    await(this::isSuspended);
  }

  private boolean isSuspended() {
    Path threads = Path.of("/proc", String.valueOf(process.pid()), "task");
    try (Stream<Path> directories = Files.list(threads)) {
      return directories.allMatch(PlatformProcessFixture::isThreadSuspended);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Whether the thread's stat file has state T (stopped), which follows the name in parentheses.
   */
  private static boolean isThreadSuspended(Path thread) {
    try {
      String stat = Files.readString(thread.resolve("stat"));
      return stat.startsWith(" T ", stat.lastIndexOf(')') + 1);
    } catch (IOException e) {
      return true; // the thread has ended
    }
  }

  /** Waits until the router serves requests; returns its port. */
  int awaitServingPort() throws Exception {
    await(() -> processLog().contains(SERVING_MESSAGE) || !process.isAlive());
    assertThat(process.isAlive()).as(processLog()).isTrue();
    String address =
        processLog().substring(processLog().indexOf(SERVING_MESSAGE) + SERVING_MESSAGE.length());
    return Integer.parseInt(
        address.substring(address.indexOf(':') + 1, address.indexOf('\n')).trim());
  }

  /**
   * Opens a connection and waits for a reply on it. Reconnects if the router closes the connection,
   * as it may evict connections.
   */
  ThriftTestClient connectUntilServed(int port) throws Exception {
    for (int i = 0; i < MAX_CONNECT_ATTEMPTS; i++) {
      ThriftTestClient client = new ThriftTestClient(port);
      resources.add(client);
      try {
        client.heartbeat(1);
        if (client.receiveReply() != null) {
          return client;
        }
      } catch (IOException e) {
        Thread.sleep(CONNECT_INTERVAL_MILLIS); // the connection was reset
      }
    }
    throw new AssertionError("no connection was served: " + processLog());
  }

  void awaitCleanExit() throws Exception {
    assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).as(processLog()).isTrue();
    assertThat(process.exitValue()).as(processLog()).isZero();
  }

  /** CPU time that the process has used so far. */
  Duration processorTime() {
    return process.info().totalCpuDuration().orElseThrow();
  }
}
