package switchgap.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router in a process of its own, started from this program's own class path. */
final class RouterProcess implements RouterHost {
    private final Path page;
    private final Path log;
    private final String baseline;
    private final boolean split;
    private Process process;
    private Process planner;

    RouterProcess(Path page, Path log, String baseline, boolean split) {
        this.split = split;
        this.baseline = baseline;
        this.page = page;
        this.log = log;
    }

    @Override public void start() throws IOException {
        List<String> words = new ArrayList<>(List.of("router", page.toString()));
        if (baseline != null) { words.addAll(List.of("--baseline", baseline)); }
        process = ChildProcess.start(log, List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"),
            words);
        startPlanner();
    }

    @Override public void startPlanner() throws IOException {
        if (split && (planner == null || !planner.isAlive())) {
            planner = ChildProcess.planner(log.resolveSibling(log.getFileName() + ".planner"), page);
        }
    }

    @Override public boolean killPlanner() {
        if (planner == null) { return false; }
        planner.destroyForcibly();
        return true;
    }

    @Override public boolean pausePlanner(boolean is) { return planner != null && signal(planner, is); }

    @Override public boolean runs() { return process != null && process.isAlive(); }

    @Override public void kill() {
        if (process != null) { process.destroyForcibly(); }
    }

    @Override public boolean pause(boolean is) { return process != null && signal(process, is); }

    private static boolean signal(Process p, boolean stop) {
        try {
            return new ProcessBuilder("kill", stop ? "-STOP" : "-CONT",
                String.valueOf(p.pid())).start().waitFor() == 0;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override public void stop() {
        killPlanner();
        if (process == null) { return; }
        process.destroy();
        try {
            if (!process.waitFor(8, TimeUnit.SECONDS)) { process.destroyForcibly(); }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            process.destroyForcibly();
        }
    }
}
