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
 * Admission control of one router: its controller where the settings enable it, the gate to which
 * requests are offered, and the log of service level changes. Belongs to the event loop, except for
 * {@link #gate} and {@link #controller}.
 */
final class GatewayAdmission {
  /** Under the router's name, by which operators filter the changes of service levels. */
  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);

  private final YamlRouterSettings settings;
  private final AdmissionController controller; // null: admission control is off
  private final AtomicReference<AdmissionGate> gate = new AtomicReference<>();

  /** Creates the controller, but no gate yet; {@code seed} is that of the controller's draws. */
  GatewayAdmission(YamlRouterSettings settings, long seed) {
    this.settings = settings;
    controller =
        settings.admissionControlEnabled()
            ? new AdmissionController(settings.admissionSettings(), seed)
            : null;
  }

  /** Creates the gate, with the service level that the settings pin; called in the first tick. */
  void createGate(RouterCore core) {
    AdmissionGate created = new AdmissionGate(core, settings, controller, this::logLevelChange);
    gate.set(created);
    if (controller != null && settings.pinnedLevel() != null) {
      created.pin(settings.pinnedLevel(), settings.pinDuration());
    }
  }

  /** The controller, or null where admission control is off. */
  AdmissionController controller() {
    return controller;
  }

  /** The gate, or null before the first tick. */
  AdmissionGate gate() {
    return gate.get();
  }

  /** Logs the figures that met the condition too: an operator acts on a change of level. */
  private void logLevelChange(ServiceLevelChange change) {
    LOG.warn(
        "level {} to {} for {}: {} (pressure {}, evidence {} calls)",
        EnumWords.wordOf(change.previous()),
        EnumWords.wordOf(change.current()),
        change.appliesToAll() ? "all" : settings.tenantName(change.tenant()),
        change.condition(),
        String.format(Locale.ROOT, "%.3f", change.pressure()),
        Math.round(change.samples()));
  }
}
