package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A router as a process of its own between scripted clients, workers and a feed. */
abstract class PlatformProcessFixture extends PlatformFixture {
  Path file;
  Process process;
  final Map<String, String> variables = new HashMap<>();
  private Path log;

  static void shell(String command) throws IOException, InterruptedException {
    assertThat(new ProcessBuilder("sh", "-c", command).inheritIO().start().waitFor())
        .as(command)
        .isZero();
  }

  void start(String before, String... options) throws IOException {
    log = dir.resolve("log");
    List<String> command =
        new ArrayList<>(
            List.of(
                "exec",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of(options));
    command.addAll(
        List.of(
            "-cp",
            "'" + System.getProperty("java.class.path") + "'",
            "switchgap.cli.Main",
            "serve"));
    ProcessBuilder builder =
        new ProcessBuilder("sh", "-c", before + String.join(" ", command))
            .redirectErrorStream(true)
            .redirectOutput(log.toFile());
    builder
        .environment()
        .putAll(
            Map.of(
                "NODE_NAME", "n1", "NODE_LISTEN", "127.0.0.1:0", "NODE_CONFIG", file.toString()));
    builder.environment().putAll(variables);
    process = builder.start();
    resources.add(() -> process.destroyForcibly().waitFor());
  }

  String log() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      return ""; // not begun
    }
  }

  void signal(String name) throws Exception {
    shell("kill -" + name + " " + process.pid());
  }

  /**
   * A connection that has its answer; one that came while the router made room was closed, and is
   * opened again as clients do.
   */
  ThriftTestClient answered(int port) throws Exception {
    for (int i = 0; i < 50; i++) {
      ThriftTestClient client = new ThriftTestClient(port);
      resources.add(client);
      try {
        client.heartbeat(1);
        if (client.reply() != null) {
          return client;
        }
      } catch (IOException e) {
        Thread.sleep(20); // it was reset
      }
    }
    throw new AssertionError("no connection was answered: " + log());
  }

  int serves() throws Exception {
    await(() -> log().contains(" serves at ") || !process.isAlive());
    assertThat(process.isAlive()).as(log()).isTrue();
    String address = log().substring(log().indexOf(" serves at ") + 11);
    return Integer.parseInt(
        address.substring(address.indexOf(':') + 1, address.indexOf('\n')).trim());
  }

  void endsWell() throws Exception {
    assertThat(process.waitFor(5, TimeUnit.SECONDS)).as(log()).isTrue();
    assertThat(process.exitValue()).as(log()).isZero();
  }

  /** Processor time that the process has used so far. */
  Duration processorTime() {
    return process.info().totalCpuDuration().orElseThrow();
  }
}
