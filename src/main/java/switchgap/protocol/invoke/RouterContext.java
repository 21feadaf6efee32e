package switchgap.protocol.invoke;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.router.AdmissionGate;
import switchgap.router.RouterCore;

/**
 * The API's access to the router that it serves.
 *
 * @param clock time since the router's start; from any thread
 * @param eventLoop runs an event on the router's event loop; from any thread
 * @param admissionGate the gate to which requests are offered; only on the event loop
 */
public record RouterContext(
    Supplier<Duration> clock,
    Consumer<Consumer<RouterCore>> eventLoop,
    Supplier<AdmissionGate> admissionGate) {

  Duration now() {
    return clock.get();
  }

  void post(Consumer<RouterCore> event) {
    eventLoop.accept(event);
  }

  AdmissionGate gate() {
    return admissionGate.get();
  }
}
