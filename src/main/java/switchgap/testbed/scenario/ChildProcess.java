package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts this program once more, in a process of its own. */
public final class ChildProcess {
  private static final List<String> PLANNER_JVM_OPTIONS =
      List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private ChildProcess() {}

  /** Starts the planner of a router's configuration. */
  public static Process planner(Path log, Path config) throws IOException {
    return start(log, PLANNER_JVM_OPTIONS, List.of("planner", config.toString()));
  }

  /** Starts the program from its own class path; what it prints is appended to the log. */
  public static Process start(Path log, List<String> jvmOptions, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "switchgap.cli.Main"));
    command.addAll(arguments);
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }
}
