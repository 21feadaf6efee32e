package switchgap.testbed.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts programs under test as child processes whose output is appended to a log file. */
public final class ChildProcess {
  private static final List<String> PLANNER_JVM_OPTIONS =
      List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private ChildProcess() {}

  /** Starts the planner of a router's configuration, from this program's own class path. */
  public static Process planner(Path log, Path config) throws IOException {
    return start(log, PLANNER_JVM_OPTIONS, List.of("planner", config.toString()));
  }

  /** Starts this program once more, from its own class path. */
  public static Process start(Path log, List<String> jvmOptions, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "switchgap.cli.Main"));
    command.addAll(arguments);
    return start(log, new ProcessBuilder(command));
  }

  /** Starts a command; standard output and standard error are appended to the log. */
  public static Process start(Path log, ProcessBuilder command) throws IOException {
    return command
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }
}
