package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * The logs of a scenario run: what clients and workers sent and received over their sockets.
 * Routers' own logs and metrics are not read, because a faulty router may report them wrongly.
 */
final class ScenarioLog {
  private final Scenario scenario;
  private final List<LogLine> fleetLines;
  private final List<LogLine> listLines;
  private final RouterOutages outages;
  private final ObservedAttempts attempts;
  private final ObservedExecutions executions;

  private ScenarioLog(Path directory) throws IOException {
    scenario = Scenario.read(directory.resolve(EventLog.SCENARIO));
    List<LogLine> scriptLines = EventLog.read(directory.resolve(EventLog.SCRIPT));
    List<LogLine> clientLines = EventLog.read(directory.resolve(EventLog.CLIENTS));
    fleetLines = EventLog.read(directory.resolve(EventLog.FLEET));
    listLines = EventLog.read(directory.resolve(EventLog.LIST));
    outages = new RouterOutages(scenario.routerCount(), slack(), scriptLines);
    attempts = new ObservedAttempts(scenario.routerCount(), slack(), clientLines);
    executions = new ObservedExecutions(attempts, fleetLines);
  }

  /**
   * Reads the logs in the directory of a scenario run.
   *
   * @throws IOException if a log is missing, truncated or unreadable
   */
  static ScenarioLog read(Path directory) throws IOException {
    return new ScenarioLog(directory);
  }

  ScenarioSettings settings() {
    return scenario.settings();
  }

  /** Tolerance for clock differences and thread scheduling delays, in microseconds. */
  long slack() {
    return settings().timing().slack();
  }

  /** Intervals in which the fault script kept routers down or paused. */
  RouterOutages outages() {
    return outages;
  }

  /** Lines of the workers' log. */
  List<LogLine> fleetLines() {
    return fleetLines;
  }

  /** Lines of the log of the endpoint list. */
  List<LogLine> listLines() {
    return listLines;
  }

  /** Attempts of all clients, each with its executions at workers. */
  ObservedAttempts attempts() {
    return attempts;
  }

  /** Executions at all workers. */
  ObservedExecutions executions() {
    return executions;
  }
}
