package switchgap.router;

import java.util.function.Consumer;
import switchgap.policy.api.RouterSettings;

/**
 * Counters, trace and log of a running router. They do not influence its decisions.
 *
 * @param events counts events and writes the trace
 * @param invariants checks the invariants before actions
 * @param log receives log lines for operators
 */
public record RouterDiagnostics(
    RouterEvents events, InvariantMonitor invariants, Consumer<String> log) {
  /**
   * Creates the diagnostics of a router.
   *
   * @param traceLines receives a line for each event; null to disable the trace
   */
  public static RouterDiagnostics of(
      RouterSettings settings, Consumer<String> log, Consumer<String> traceLines) {
    RouterEvents events =
        traceLines == null ? RouterEvents.counting() : RouterEvents.tracing(traceLines);
    return new RouterDiagnostics(events, new InvariantMonitor(settings, events, log), log);
  }
}
