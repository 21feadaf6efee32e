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

  /**
   * Starts a planner in a JVM with this program's class path.
   *
   * @param log file that its output is appended to
   * @param config configuration file of the router that the planner belongs to
   * @throws IOException if the process can't be started
   */
  public static Process startPlanner(Path log, Path config) throws IOException {
    return start(log, PLANNER_JVM_OPTIONS, List.of("planner", config.toString()));
  }

  /**
   * Starts another process of this program, with the same Java version and class path.
   *
   * @param log file that its output is appended to
   * @param jvmOptions options of its JVM, such as the heap size
   * @param arguments command and options as on the command line
   * @throws IOException if the process can't be started
   */
  public static Process start(Path log, List<String> jvmOptions, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "switchgap.cli.Main"));
    command.addAll(arguments);
    return start(log, new ProcessBuilder(command));
  }

  /**
   * Starts a command.
   *
   * @param log file that its standard output and standard error are appended to
   * @param command the command with its environment; its redirects are overwritten
   * @throws IOException if the process can't be started
   */
  public static Process start(Path log, ProcessBuilder command) throws IOException {
    return command
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }
}
