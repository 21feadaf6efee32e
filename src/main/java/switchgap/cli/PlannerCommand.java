package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import switchgap.config.InvalidConfigException;
import switchgap.net.NetworkTransport;
import switchgap.planner.link.PlannerClient;
import switchgap.scenario.ChildProcess;
import switchgap.server.gateway.GatewayConfig;

/** The planner: settles order and time of one edge's loads. */
@Command(name = "planner", description = "Plans the load orders of the edge whose page this is.", mixinStandardHelpOptions = true) final class PlannerCommand
    implements Callable<Integer> {
    @Parameters(paramLabel = "PAGE", description = "the page of the edge, with the part planner") Path page;

    @Override public Integer call() throws Exception {
        GatewayConfig p = linked(page, GatewayConfig.read(page));
        NetworkTransport net = new NetworkTransport(1, "planner-" + p.terms().routerIndex());
        PlannerClient end = new PlannerClient(net, p.planner(), p.terms().routerIndex());
        Runtime.getRuntime().addShutdownHook(new Thread(end::close));
        Thread.currentThread().join();
        return 0;
    }

    /** The page where it states at which port the planner finds its edge, else a mistake. */
    static GatewayConfig linked(Path file, GatewayConfig p) {
        if (p.planner() == null || p.planner().getPort() == 0) {
            throw new InvalidConfigException(file.toString(), 1, "needs the part planner with its port");
        }
        return p;
    }

    /** Starts a planner and starts it again with back-off when it ends; never touches the edge. */
    static final class Keeper implements AutoCloseable {
        private static final Logger LOG = LoggerFactory.getLogger(Keeper.class);
        private static final long FIRST = 200;
        private static final long LONGEST = 5000;
        private static final long WELL = 10_000; // a planner that ran for so long had a good start
        private final Path page;
        private final Thread thread = new Thread(this::keep, "planner-keeper");
        private volatile Process process;
        private volatile boolean closed;

        Keeper(Path page) {
            this.page = page;
            thread.setDaemon(true);
            thread.start();
        }

        private void keep() {
            long wait = FIRST;
            while (!closed) {
                long began = System.nanoTime();
                try {
                    process = ChildProcess.planner(page.resolveSibling(page.getFileName() + ".planner.log"),
                        page);
                    int code = process.waitFor();
                    if (closed) { return; }
                    wait = (System.nanoTime() - began) / 1_000_000 > WELL ? FIRST
                        : Math.min(LONGEST, wait * 2);
                    LOG.warn("the planner ended with {}, again in {} ms", code, wait);
                    Thread.sleep(wait);
                } catch (IOException e) {
                    LOG.error("the planner can't be started: {}", e.getMessage());
                    return;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        @Override public void close() {
            closed = true;
            Process p = process;
            if (p != null) { p.destroy(); }
        }
    }
}
