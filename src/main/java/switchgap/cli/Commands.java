package switchgap.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.bridge.SLF4JBridgeHandler;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import switchgap.config.InvalidConfigException;
import switchgap.scenario.DemoScenario;
import switchgap.scenario.InvariantChecker;
import switchgap.scenario.ScenarioRunner;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/** The commands. Exit codes: 0 done, 1 failed or a rule broken, 2 unusable input or words. */
@Command(name = "switchgap", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class, description = "A gateway for functions that workers load on demand.", subcommands = {
    Commands.Router.class, PlannerCommand.class, StatusCommand.class, CallCommand.class, LevelsCommand.class,
    Commands.Standin.class, Commands.DayCommand.class, Commands.DemoCommand.class,
    LabCommand.class, LoadCommand.class, Commands.ExperimentCommand.class,
    Commands.ServeCommand.class, Commands.Simhost.class}) public final class Commands {
    private Commands() {}

    static int run(String[] args) {
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler((e, cmd, parsed) -> {
            cmd.getErr().println(
                "switchgap: " + (e instanceof InvalidConfigException || e instanceof java.io.IOException
                    ? e instanceof java.nio.file.NoSuchFileException ? "no such file: " + e.getMessage()
                        : e.getMessage()
                    : e));
            if (!(e instanceof InvalidConfigException || e instanceof java.io.IOException)) {
                e.printStackTrace(cmd.getErr());
            }
            return e instanceof InvalidConfigException ? 2 : 1;
        });
        int code = line.execute(args);
        if (args.length == 0) { line.usage(System.out); }
        return code;
    }

    /** The jar's version. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String v = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"switchgap " + (v == null ? "(not packaged)" : v)};
        }
    }

    @Command(name = "router", aliases = "edge", description = "Runs a router by its page until SIGTERM.", mixinStandardHelpOptions = true) static final class Router
        implements Callable<Integer> {
        @Parameters(paramLabel = "PAGE", description = "YAML: terms, functions, where to listen, whom to ask for the list") Path page;

        @Option(names = "--check", description = "read the page, say what is wrong, start nothing") boolean check;

        @Option(names = "--baseline", hidden = true, description = "random or turns, in place of the module: to measure") String baseline;

        @Option(names = "--split", description = "plan load orders in a program of its own, started again when it dies") boolean split;

        @Override public Integer call() throws Exception {
            GatewayConfig p = GatewayConfig.read(page);
            if (split) { PlannerCommand.linked(page, p); }
            if (check) {
                System.out.println(page + ": good");
                return 0;
            }
            GatewayRouter g = baseline == null ? new GatewayRouter(p)
                : switchgap.experiment.BaselineRouter.start(page, baseline);
            PlannerCommand.Keeper keeper = split ? new PlannerCommand.Keeper(page) : null;
            CountDownLatch ended = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                if (keeper != null) { keeper.close(); }
                g.stop();
                ended.countDown();
                Runtime.getRuntime().halt(0); // in good order: what was held has its answer
            }));
            ended.await();
            return 0;
        }
    }

    @Command(name = "standin", description = "Runs a day's stand-ins alone: model servers, store, list service.", mixinStandardHelpOptions = true) static final class Standin
        implements Callable<Integer> {
        @Parameters(paramLabel = "DAY") Path file;

        @Option(names = "--record", paramLabel = "DIR", required = true, description = "where logs and router pages go") Path dir;

        @Option(names = "--script", description = "bring the day's troubles too") boolean script;

        @Override public Integer call() throws Exception {
            switchgap.scenario.EmulatorHost.run(file, dir, script, System.out);
            return 0;
        }
    }

    @Command(name = "day", description = "Plays scripted days over loopback sockets and checks their rules.", mixinStandardHelpOptions = true, subcommands = {
        Run.class, Check.class}) static final class DayCommand implements Callable<Integer> {
        @Override public Integer call() {
            CommandLine.usage(this, System.out);
            return 2;
        }
    }

    @Command(name = "run", description = "Plays a day and leaves its logs.", mixinStandardHelpOptions = true) static final class Run
        implements Callable<Integer> {
        @Parameters(paramLabel = "FILE") Path file;

        @Option(names = "--record", paramLabel = "DIR", required = true, description = "where the logs go") Path dir;

        @Option(names = "--baseline", description = "random or turns in place of the module, to measure against") String baseline;

        @Override public Integer call() throws Exception {
            ScenarioRunner.play(file, dir, baseline, System.out);
            return 0;
        }
    }

    @Command(name = "check", description = "Judges the five rules from a played day's logs: 0 kept, 1 broken, 2 unusable.", mixinStandardHelpOptions = true) static final class Check
        implements Callable<Integer> {
        @Parameters(paramLabel = "DIR") Path dir;

        @Override public Integer call() {
            try {
                InvariantChecker c = InvariantChecker.read(dir);
                c.print(System.out);
                return c.violations().isEmpty() ? 0 : 1;
            } catch (java.io.IOException | InvalidConfigException e) {
                System.err.println("switchgap: unusable: " + e.getMessage());
                return 2;
            }
        }
    }

    @Command(name = "demo", description = "A router with stand-ins in one process, a short load, and what came of it.", mixinStandardHelpOptions = true) static final class DemoCommand
        implements Callable<Integer> {
        @Option(names = "--keep", description = "leave it up until interrupted") boolean keep;

        @Option(names = "--seconds", defaultValue = "8", description = "of load (default: ${DEFAULT-VALUE})") int seconds;

        @Override public Integer call() throws Exception {
            return DemoScenario.run(seconds, keep, System.out);
        }
    }

    @Command(name = "experiment", description = "Variants over a load curve in simulated time, side by side.", mixinStandardHelpOptions = true) static final class ExperimentCommand
        implements Callable<Integer> {
        @Parameters(paramLabel = "FILE") Path file;

        @Option(names = "--quick", description = "one seed and a part of the time") boolean quick;

        @Option(names = "--report", paramLabel = "FILE", description = "an HTML page with plots") Path report;

        @Option(names = "--results", paramLabel = "DIR", description = "trials and seconds as CSV and Arrow files") Path results;

        @Override public Integer call() throws Exception {
            switchgap.experiment.Experiment.run(file, quick, report, results, System.out);
            return 0;
        }
    }

    @Command(name = "serve", description = "Runs a router on the platform until SIGTERM, by NODE_NAME, NODE_LISTEN and NODE_CONFIG.", mixinStandardHelpOptions = true) static final class ServeCommand
        implements Callable<Integer> {
        @Override public Integer call() { return switchgap.server.platform.ServeCommand.run(); }
    }

    @Command(name = "simhost", description = "Hosts router instances on the simulator's wire, on standard input and output.", mixinStandardHelpOptions = true) static final class Simhost
        implements Callable<Integer> {
        @Override public Integer call() { return Main.simhost(); }
    }
}
