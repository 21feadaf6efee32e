package switchgap.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** A small day inside one process, from the page that comes with the program. */
public final class DemoScenario {
    private DemoScenario() {}

    /** Plays it, prints what came of it and whether the rules were kept; 0 when they were. */
    public static int run(int seconds, boolean keep, PrintStream out)
        throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("switchgap-demo");
        Path file = dir.resolve("demo.yaml");
        try (InputStream in = DemoScenario.class.getResourceAsStream("demo.yaml")) {
            Files.writeString(file,
                new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8).replace("SECONDS",
                    seconds + "s"));
        }
        out.println("a router and its stand-ins on loopback ports; logs in " + dir);
        if (keep) {
            try (TestBed rig = new TestBed(Scenario.read(file), dir, null)) {
                rig.ticker.post(() -> rig.clients.start(Long.MAX_VALUE));
                for (int i = 0; i < rig.routers.size(); i++) {
                    out.println("router " + i + ": switchgap call status-refresh-0 --router http://127.0.0.1:"
                        + rig.port(i));
                }
                Thread.currentThread().join();
            }
        }
        ScenarioRunner.play(file, dir, null, out);
        InvariantChecker check = InvariantChecker.read(dir);
        check.print(out);
        return check.violations().isEmpty() ? 0 : 1;
    }
}
