package switchgap.testbed.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the event logs of a scenario run. A truncated log is an error. */
final class EventLog {
  /** Copy of the scenario document. */
  static final String SCENARIO = "day.yaml";

  /** Log of the workers and the store. */
  static final String FLEET = "fleet.jsonl";

  /** Log of the clients. */
  static final String CLIENTS = "clients.jsonl";

  /** Log of the endpoint list: its changes, and when routers were notified of them. */
  static final String LIST = "list.jsonl";

  /** Log of the fault script: the faults that were injected. */
  static final String SCRIPT = "script.jsonl";

  private static final ObjectMapper JSON = new ObjectMapper();

  private EventLog() {}

  /**
   * Reads all lines of a log.
   *
   * @throws IOException if the log is missing, truncated or unreadable
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
          file
              + ":"
              + lines.size()
              + ": the log is truncated: its last line is not an \"end\" event");
    }
    return lines;
  }

  private static LogLine parse(Path file, int lineNumber, String text) throws IOException {
    try {
      LogLine line = LogLine.parse(lineNumber, JSON.readTree(text));
      if (line == null) {
        throw new IOException("the time (\"t\") or the event (\"what\") is missing");
      }
      return line;
    } catch (IOException e) {
      throw new IOException(
          file + ":" + lineNumber + ": cannot read this line: " + e.getMessage(), e);
    }
  }
}
