package switchgap.protocol.invoke;

import switchgap.admission.AdmissionController;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.router.AdmissionGate;

/** Reports and pins the service level of a router; on the event loop. */
final class ServiceLevelHandler {
  private final ServiceLevelReport report;

  ServiceLevelHandler(YamlRouterSettings settings) {
    report = new ServiceLevelReport(settings);
  }

  /**
   * Responds with the report of the service levels. {@code POST /v1/levels?pin=LEVEL&seconds=N}
   * pins a level for that time first; {@code GET /v1/levels} only reads.
   */
  void handle(HttpExchange exchange, AdmissionGate gate) {
    try {
      AdmissionController admission = requireAdmission(gate);
      if (exchange.method().equals("POST")) {
        PinRequest pin = PinRequest.read(exchange);
        gate.pin(pin.level(), pin.duration());
      }
      ResponseWriter.writePage(exchange, ResponseWriter.JSON, report.toJson(admission));
    } catch (InvalidRequestException e) {
      ResponseWriter.writeProblem(exchange, e.problem());
    }
  }

  private static AdmissionController requireAdmission(AdmissionGate gate)
      throws InvalidRequestException {
    if (gate.controller() == null) {
      throw new InvalidRequestException(
          ProblemType.NO_SERVICE_LEVELS, "levels do not act at this router");
    }
    return gate.controller();
  }
}
