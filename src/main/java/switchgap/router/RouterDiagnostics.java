package switchgap.router;

import java.util.function.Consumer;
import switchgap.policy.api.RouterSettings;

/**
 * Observability of a running router; without influence on its decisions.
 *
 * @param events counts and traces events
 * @param invariants checks actions right before they happen
 * @param log receives log lines for the operators
 */
public record RouterDiagnostics(
    RouterEvents events, InvariantMonitor invariants, Consumer<String> log) {
  /**
   * Creates the diagnostics of a router under these settings.
   *
   * @param traceLines receives a line for each event; null for counters alone
   */
  public static RouterDiagnostics of(
      RouterSettings settings, Consumer<String> log, Consumer<String> traceLines) {
    RouterEvents events =
        traceLines == null ? RouterEvents.counting() : RouterEvents.tracing(traceLines);
    return new RouterDiagnostics(events, new InvariantMonitor(settings, events, log), log);
  }
}
