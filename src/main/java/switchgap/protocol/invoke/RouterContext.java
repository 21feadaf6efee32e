package switchgap.protocol.invoke;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.router.AdmissionGate;
import switchgap.router.RouterCore;

/**
 * The invoke API's access to the router that it belongs to.
 *
 * @param clock returns the time since the router's start; safe from any thread
 * @param eventLoop posts an event to the router's event loop; safe from any thread
 * @param admissionGate returns the gate to which requests are offered; on the event loop only
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
