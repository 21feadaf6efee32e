package switchgap.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import switchgap.testbed.soak.Soak;
import switchgap.testbed.soak.SoakFaultType;
import switchgap.testbed.soak.SoakProfile;

/** Runs router processes over loopback sockets, under faults drawn from a seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Router processes under faults drawn from a seed, checked at clients and workers.")
final class SoakCommand implements Callable<Integer> {
  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of the faults (default: ${DEFAULT-VALUE})")
  private long seed;

  @Option(
      names = "--routers",
      defaultValue = "24",
      description = "processes (default: ${DEFAULT-VALUE})")
  private int routers;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "of load (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Option(
      names = "--profile",
      defaultValue = "MIXED",
      description = "which faults: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
  private SoakProfile profile;

  @Option(
      names = "--without",
      split = ",",
      paramLabel = "<fault>",
      description = "faults to leave out of the replay of a seed: ${COMPLETION-CANDIDATES}")
  private List<SoakFaultType> excludedFaults = List.of();

  @Option(
      names = "--deploy",
      defaultValue = "deploy/balancer.toml",
      paramLabel = "<file>",
      description = "whose run command starts a router (default: ${DEFAULT-VALUE})")
  private Path deployFile;

  @Option(
      names = "--logs",
      paramLabel = "<directory>",
      description = "where to keep the routers' logs")
  private Path logDirectory;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Path directory =
        logDirectory == null
            ? Files.createTempDirectory("soak")
            : Files.createDirectories(logDirectory);
    Set<SoakFaultType> excluded = EnumSet.noneOf(SoakFaultType.class);
    excluded.addAll(excludedFaults);
    boolean invariantsHeld =
        Soak.run(
            new Soak.Options(
                seed,
                routers,
                seconds,
                profile,
                excluded,
                Soak.readRunCommand(deployFile),
                directory.toAbsolutePath()),
            System.out);
    if (!invariantsHeld) {
      System.out.println("router logs are in " + directory);
    }
    return invariantsHeld ? ExitCode.OK : ExitCode.FAILURE;
  }
}
