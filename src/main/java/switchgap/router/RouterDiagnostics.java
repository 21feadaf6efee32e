package switchgap.router;

import java.util.function.Consumer;
import switchgap.policy.api.RouterSettings;

/**
 * What observes a running router. None of it decides anything.
 *
 * @param events counts and traces what happens
 * @param invariants checks what is about to happen
 * @param log takes lines for the operators
 */
public record RouterDiagnostics(
    RouterEvents events, InvariantMonitor invariants, Consumer<String> log) {
  /**
   * Diagnostics of a router under these settings; events are traced where there are lines for it,
   * else null.
   */
  public static RouterDiagnostics of(
      RouterSettings settings, Consumer<String> log, Consumer<String> traceLines) {
    RouterEvents events =
        traceLines == null ? RouterEvents.counting() : RouterEvents.tracing(traceLines);
    return new RouterDiagnostics(events, new InvariantMonitor(settings, events, log), log);
  }
}
