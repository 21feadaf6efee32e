package switchgap.day;

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
    private Process process;

    RouterProcess(Path page, Path log, String baseline) {
        this.baseline = baseline;
        this.page = page;
        this.log = log;
    }

    @Override public void start() throws IOException {
        List<String> words = new ArrayList<>(List.of("router", page.toString()));
        if (baseline != null) { words.addAll(List.of("--baseline", baseline)); }
        process = Child.start(log, List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"), words);
    }

    @Override public boolean runs() { return process != null && process.isAlive(); }

    @Override public void kill() {
        if (process != null) { process.destroyForcibly(); }
    }

    @Override public boolean pause(boolean is) {
        try {
            return process != null && new ProcessBuilder("kill", is ? "-STOP" : "-CONT", String.valueOf(process.pid()))
                .start().waitFor() == 0;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override public void stop() {
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
