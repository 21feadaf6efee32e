package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * What passed on the sockets of clients and workers while a scenario was played, read from its
 * logs. What a router reports of itself is no evidence and is not read.
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
    outages = new RouterOutages(scenario.routers(), slack(), scriptLines);
    attempts = new ObservedAttempts(scenario.routers(), slack(), clientLines);
    executions = new ObservedExecutions(attempts, fleetLines);
  }

  /**
   * Reads the directory of a played scenario.
   *
   * @throws IOException if a log is missing, cut off or unreadable
   */
  static ScenarioLog read(Path directory) throws IOException {
    return new ScenarioLog(directory);
  }

  ScenarioSettings settings() {
    return scenario.settings();
  }

  /** Tolerance for the clocks and threads of one machine, microseconds. */
  long slack() {
    return settings().timing().slack();
  }

  /** When routers were dead or paused by the fault script. */
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

  /** The attempts of the clients, with their executions. */
  ObservedAttempts attempts() {
    return attempts;
  }

  /** The executions at the workers. */
  ObservedExecutions executions() {
    return executions;
  }
}
