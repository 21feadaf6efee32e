package switchgap.cli;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import switchgap.experiment.SpeedMeasurement;

/** Measurements. */
@Command(name = "lab", description = "Measures the router on this machine.", mixinStandardHelpOptions = true, subcommands = {
    LabCommand.SpeedRun.class, LabCommand.MemoryRun.class, LabCommand.RelayRun.class}) final class LabCommand
        implements Callable<Integer> {
    @Override public Integer call() {
        CommandLine.usage(this, System.out);
        return 2;
    }

    @Command(name = "speed", description = "Latency and calls a second beside a relay of the same filter chains.", mixinStandardHelpOptions = true) static final class SpeedRun
        implements Callable<Integer> {
        @Option(names = "--seconds", defaultValue = "6") int seconds;

        @Option(names = "--connections", defaultValue = "64") int connections;

        @Option(names = "--rate", defaultValue = "1000") int rate;

        @Override public Integer call() throws Exception {
            SpeedMeasurement.run(Duration.ofSeconds(seconds), connections, rate, System.out);
            return 0;
        }
    }

    @Command(name = "memory", description = "Heap of a router at size and of each call held.", mixinStandardHelpOptions = true) static final class MemoryRun
        implements Callable<Integer> {
        @Option(names = "--calls", defaultValue = "10000") int calls;

        @Override public Integer call() throws Exception {
            switchgap.experiment.MemoryMeasurement.run(calls, System.out);
            return 0;
        }
    }

    @Command(name = "relay", hidden = true, description = "The baseline, for lab speed.") static final class RelayRun
        implements Callable<Integer> {
        @Option(names = "--port", required = true) int port;

        @Option(names = "--workers", required = true, split = ",") List<Integer> workers;

        @Override public Integer call() throws Exception {
            SpeedMeasurement.relay(port, workers);
            Thread.currentThread().join();
            return 0;
        }
    }
}
