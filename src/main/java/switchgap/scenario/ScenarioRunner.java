package switchgap.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import switchgap.emulator.EmulatedClients;

/** Plays a day: starts the rig, lets clients ask while the script runs, ends all in good order. */
public final class ScenarioRunner {
    private ScenarioRunner() {}

    /** Plays it, under the module or a baseline (random, turns), and leaves its logs and the day itself in the folder; prints what came of it and returns the clients. */
    public static EmulatedClients play(Path file, Path dir, String baseline, PrintStream out)
        throws IOException, InterruptedException {
        Scenario day = Scenario.read(file);
        Files.createDirectories(dir);
        Files.copy(file, dir.resolve("day.yaml"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        try (TestBed rig = new TestBed(day, dir, baseline)) {
            Thread.sleep(500);
            long end = rig.ticker.now() + day.length;
            rig.scriptLog.line(rig.ticker.now(), "began", "day", day.name);
            rig.ticker.post(() -> {
                rig.clients.start(end);
                new FaultScript(rig).start();
            });
            while (rig.ticker.now() < end) { Thread.sleep(50); }
            long most = end + day.longestLimit() + 2_000_000;
            while (rig.clients.open() > 0 && rig.ticker.now() < most) { Thread.sleep(20); }
            Thread.sleep(400);
            rig.finish();
            report(rig, out);
            return rig.clients;
        }
    }

    static void report(TestBed rig, PrintStream out) {
        out.printf("%-16s %6s %6s %8s %6s %8s %7s %7s %11s %8s%n", "workload", "jobs", "tries", "finished",
            "late",
            "pushed", "killed", "gave up", "unreachable", "service");
        for (var e : rig.clients.tallies().entrySet()) {
            EmulatedClients.Tally t = e.getValue();
            out.printf("%-16s %6d %6d %8d %6d %8d %7d %7d %11d %8.3f%n", e.getKey(), t.jobs, t.tries,
                t.finished, t.late,
                t.pushedBack, t.killed, t.gaveUp, t.unreachable, t.earned / Math.max(t.asked, 1e-9));
        }
        out.printf("service %.3f, worst 10 s %.3f, fetches from the store %d (simulated servers)%n",
            rig.clients.service(), rig.clients.worst(10), rig.store.fetches());
    }
}
