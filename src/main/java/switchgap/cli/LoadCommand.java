package switchgap.cli;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import switchgap.experiment.LoadRun;

/** A load with a curve. */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Sends an open-loop load by a curve to routers, or to the emulator where none is named.") final class LoadCommand
    implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "YAML: load {name, day, seed} and curve") Path file;

    @Option(names = "--router", paramLabel = "URL", split = ",", description = "each router of the day, in order") List<
        String> routers = List.of();

    @Option(names = "--results", paramLabel = "DIR", required = true, description = "jobs and seconds as CSV and Arrow, latencies as histograms") Path results;

    @Option(names = "--within", paramLabel = "SHARE", defaultValue = "1", description = "play the curve in this share of its time") double within;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override public Integer call() throws Exception {
        if (!(within > 0 && within <= 100)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--within: must lie from 0 to 100");
        }
        List<InetSocketAddress> at = new ArrayList<>();
        for (String r : routers) {
            URI u = URI.create(r);
            if (u.getHost() == null) {
                throw new CommandLine.ParameterException(spec.commandLine(),
                    "--router: '" + r + "' is no URL of a router");
            }
            at.add(new InetSocketAddress(u.getHost(), u.getPort() < 0 ? 80 : u.getPort()));
        }
        LoadRun.run(file, within, at, results, System.out);
        return 0;
    }
}
