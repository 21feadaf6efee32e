package switchgap.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** A day's stand-ins alone, for routers that are started by hand. */
public final class EmulatorHost {
    private EmulatorHost() {}

    /** Runs until interrupted: model servers, store and list service; pages for the day's routers go to the folder. */
    public static void run(Path file, Path dir, boolean script, PrintStream out)
        throws IOException, InterruptedException {
        Scenario day = Scenario.read(file);
        try (TestBed rig = new TestBed(day, dir, null, false)) {
            out.println("list service at 127.0.0.1:" + rig.list.port());
            rig.servers.forEach((n, s) -> out.println(n + " at 127.0.0.1:" + s.port()));
            for (int i = 0; i < day.routers; i++) {
                out.println("./switchgap router " + dir.resolve("router-" + i + ".yaml")
                    + "   # will listen at 127.0.0.1:"
                    + rig.port(i));
            }
            if (script) { rig.ticker.post(() -> new FaultScript(rig).start()); }
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    rig.finish();
                } catch (IOException e) {
                    out.println("the logs are not whole: " + e.getMessage());
                }
            }));
            Thread.currentThread().join();
        }
    }
}
