package switchgap.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** This program once more, in a process of its own. */
public final class ChildProcess {
    private ChildProcess() {}

    /** The planner of an edge's page, in a process of its own. */
    public static Process planner(Path log, Path page) throws IOException {
        return start(log, List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"),
            List.of("planner", page.toString()));
    }

    /** Starts it from this program's own class path; what it prints is added to the log. */
    public static Process start(Path log, List<String> jvm, List<String> words) throws IOException {
        List<String> all = new ArrayList<>();
        all.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        all.addAll(jvm);
        all.addAll(List.of("-cp", System.getProperty("java.class.path"), "switchgap.cli.Main"));
        all.addAll(words);
        return new ProcessBuilder(all).redirectErrorStream(true).redirectOutput(
            ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }
}
