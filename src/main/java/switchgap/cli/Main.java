package switchgap.cli;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.List;
import switchgap.simulator.MalformedFrameException;
import switchgap.simulator.SimulatorHost;

/**
 * The program's entry point. The simulator host and the router on the platform are started without
 * the command line parser and its libraries, which they do not need.
 */
public final class Main {
  private static final int INPUT_BUFFER_BYTES = 1 << 16;
  private static final List<String> SIMULATOR_HOST_NAMES = List.of("simulator-host", "simhost");

  private Main() {}

  /** Runs the command given by the arguments, and exits with the command's exit code. */
  public static void main(String[] args) {
    if (args.length == 1 && SIMULATOR_HOST_NAMES.contains(args[0])) {
      System.exit(runSimulatorHost());
    }
    if (args.length == 1 && args[0].equals("serve")) {
      // All requests have been answered when run() returns, so shutdown hooks can be skipped.
      Runtime.getRuntime().halt(switchgap.server.platform.PlatformProcess.run());
    }
    System.exit(RootCommand.run(args));
  }

  /**
   * Serves the simulator on standard input and output until the input ends.
   *
   * @return the exit code
   */
  static int runSimulatorHost() {
    try (var input =
            new BufferedInputStream(new FileInputStream(FileDescriptor.in), INPUT_BUFFER_BYTES);
        var output = new FileOutputStream(FileDescriptor.out)) {
      new SimulatorHost().serve(input, output);
      return ExitCode.OK;
    } catch (MalformedFrameException e) {
      System.err.println("switchgap: malformed frame: " + e.getMessage());
      return ExitCode.FAILURE;
    } catch (IOException e) {
      System.err.println("switchgap: " + e.getMessage());
      return ExitCode.FAILURE;
    }
  }
}
