package switchgap.testbed.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the logs of a played scenario; one that is cut off is rejected. */
final class EventLog {
  /** Copy of the scenario that was played. */
  static final String SCENARIO = "day.yaml";

  /** What workers and the store received and did. */
  static final String FLEET = "fleet.jsonl";

  /** What clients sent and received. */
  static final String CLIENTS = "clients.jsonl";

  /** Changes of the endpoint list, and when routers were notified of them. */
  static final String LIST = "list.jsonl";

  /** Faults that were injected. */
  static final String SCRIPT = "script.jsonl";

  private static final ObjectMapper JSON = new ObjectMapper();

  private EventLog() {}

  /**
   * All lines of a log.
   *
   * @throws IOException if the log is missing, cut off or unreadable
   */
  static List<LogLine> read(Path file) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    try (BufferedReader reader = Files.newBufferedReader(file)) {
      for (String text = reader.readLine(); text != null; text = reader.readLine()) {
        lines.add(parse(file, lines.size() + 1, text));
      }
    }
    if (lines.isEmpty() || !lines.get(lines.size() - 1).hasEvent(ScenarioEvent.END_OF_LOG)) {
      throw new IOException(
          file + ":" + lines.size() + ": the log is cut off: its last line is not the end");
    }
    return lines;
  }

  private static LogLine parse(Path file, int lineNumber, String text) throws IOException {
    try {
      LogLine line = LogLine.parse(lineNumber, JSON.readTree(text));
      if (line == null) {
        throw new IOException("no time or kind");
      }
      return line;
    } catch (IOException e) {
      throw new IOException(file + ":" + lineNumber + ": unusable line: " + e.getMessage(), e);
    }
  }
}
