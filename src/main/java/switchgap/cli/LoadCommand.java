package switchgap.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import switchgap.testbed.experiment.LoadRun;

/**
 * Sends requests to routers or, without {@code --router}, directly to the emulator. The load is an
 * open loop: a curve defines when requests are sent, regardless of earlier responses.
 */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description =
        "Sends an open-loop load along a curve to routers, or to the emulator where none is named.")
final class LoadCommand implements Callable<Integer> {
  private static final double MAX_TIME_SHARE = 100;
  private static final int DEFAULT_HTTP_PORT = 80;

  @Parameters(paramLabel = "FILE", description = "YAML: load {name, day, seed} and curve")
  private Path loadFile;

  @Option(
      names = "--router",
      paramLabel = "URL",
      split = ",",
      description = "each router of the scenario, in order")
  private List<String> routerUrls = List.of();

  @Option(
      names = "--results",
      paramLabel = "DIR",
      required = true,
      description = "jobs and seconds as CSV and Arrow, latencies as histograms")
  private Path resultDirectory;

  @Option(
      names = "--within",
      paramLabel = "SHARE",
      defaultValue = "1",
      description = "play the curve in this share of its time")
  private double timeShare;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    boolean isShareValid = timeShare > 0 && timeShare <= MAX_TIME_SHARE;
    if (!isShareValid) {
      throw new ParameterException(spec.commandLine(), "--within: must be above 0 and at most 100");
    }
    List<InetSocketAddress> routers = new ArrayList<>();
    for (String url : routerUrls) {
      routers.add(address(url));
    }
    LoadRun.run(loadFile, timeShare, routers, resultDirectory, System.out);
    return ExitCode.OK;
  }

  private InetSocketAddress address(String url) {
    URI uri = URI.create(url);
    if (uri.getHost() == null) {
      throw new ParameterException(
          spec.commandLine(), "--router: '" + url + "' must be a URL with a host name");
    }
    return new InetSocketAddress(
        uri.getHost(), uri.getPort() < 0 ? DEFAULT_HTTP_PORT : uri.getPort());
  }
}
