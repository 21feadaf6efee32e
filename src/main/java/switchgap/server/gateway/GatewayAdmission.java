package switchgap.server.gateway;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.EnumWords;
import switchgap.config.YamlRouterSettings;
import switchgap.router.AdmissionGate;
import switchgap.router.RouterCore;

/**
 * Admission control of one router: the controller if the settings enable it, the gate to which
 * requests are offered, and the logging of service level changes. Confined to the event loop,
 * except for {@link #gate} and {@link #controller}.
 */
final class GatewayAdmission {
  /** Uses the name of {@link GatewayRouter}, since operators filter log lines by it. */
  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);

  private final YamlRouterSettings settings;

  /** Null if admission control is off. */
  private final AdmissionController controller;

  private final AtomicReference<AdmissionGate> gate = new AtomicReference<>();

  /** Creates the controller, but no gate yet; {@code seed} is for the controller's random draws. */
  GatewayAdmission(YamlRouterSettings settings, long seed) {
    this.settings = settings;
    controller =
        settings.admissionControlEnabled()
            ? new AdmissionController(settings.admissionSettings(), seed)
            : null;
  }

  /**
   * Creates the gate and pins the service level if the settings say so; called in the first tick.
   */
  void createGate(RouterCore core) {
    AdmissionGate newGate = new AdmissionGate(core, settings, controller, this::logLevelChange);
    gate.set(newGate);
    if (controller != null && settings.pinnedLevel() != null) {
      newGate.pin(settings.pinnedLevel(), settings.pinDuration());
    }
  }

  /** The controller, or null if admission control is off. */
  AdmissionController controller() {
    return controller;
  }

  /** The gate, or null before the first tick. */
  AdmissionGate gate() {
    return gate.get();
  }

  /**
   * Logs the change with its condition and measurements, so that an operator can judge the cause.
   */
  private void logLevelChange(ServiceLevelChange change) {
    LOG.warn(
        "service level changed from {} to {} for {}: {} (pressure {}, {} samples)",
        EnumWords.wordOf(change.previous()),
        EnumWords.wordOf(change.current()),
        change.appliesToAll() ? "all" : settings.tenantName(change.tenant()),
        change.condition(),
        String.format(Locale.ROOT, "%.3f", change.pressure()),
        Math.round(change.samples()));
  }
}
