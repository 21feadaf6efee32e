package switchgap.protocol.invoke;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.EnumWords;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.router.AdmissionGate;

/** Shows the service levels of a router and pins them; on the event loop. */
final class ServiceLevelHandler {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MAX_PIN_SECONDS = 86_400;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final YamlRouterSettings settings;

  ServiceLevelHandler(YamlRouterSettings settings) {
    this.settings = settings;
  }

  /**
   * {@code GET /v1/levels}: the levels now and the last changes; {@code POST
   * /v1/levels?pin=LEVEL&seconds=N}: a pin that expires.
   */
  void handle(HttpExchange exchange, AdmissionGate gate) {
    AdmissionController admission = gate.admission();
    if (admission == null) {
      ResponseWriter.writeProblem(
          exchange,
          new ProblemDetails(ProblemType.NO_SERVICE_LEVELS, "levels do not act at this router"));
      return;
    }
    if (exchange.method().equals("POST")) {
      try {
        pin(exchange, gate);
      } catch (InvalidRequestException e) {
        ResponseWriter.writeProblem(exchange, e.problem());
        return;
      }
    }
    exchange.respond(
        200, Map.of(ResponseWriter.CONTENT_TYPE, ResponseWriter.JSON), toJson(admission));
  }

  private static void pin(HttpExchange exchange, AdmissionGate gate)
      throws InvalidRequestException {
    ServiceLevel level = parsePinnableLevel(exchange.queryParameter("pin"));
    long seconds = parseSeconds(exchange.queryParameter("seconds"));
    if (level == null || seconds < 1 || seconds > MAX_PIN_SECONDS) {
      throw new InvalidRequestException(
          ProblemType.MALFORMED_PIN,
          "pin must be full, least, most or hold, seconds from 1 to " + MAX_PIN_SECONDS);
    }
    gate.pin(level, Duration.ofSeconds(seconds));
  }

  /** Null for no level, and for the one that belongs to single tenants. */
  private static ServiceLevel parsePinnableLevel(String word) {
    for (ServiceLevel level : ServiceLevel.values()) {
      if (level != ServiceLevel.SHARE && EnumWords.wordOf(level).equals(word)) {
        return level;
      }
    }
    return null;
  }

  private static long parseSeconds(String digits) {
    try {
      return digits == null ? -1 : Long.parseLong(digits);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private byte[] toJson(AdmissionController admission) {
    ObjectNode root = JSON.createObjectNode();
    root.put("level", EnumWords.wordOf(admission.level()));
    root.put("depth", admission.shedFraction());
    root.put("pinned", admission.isPinned());
    root.put("pressure", admission.pressure());
    addTotals(root, admission);
    addTenants(root.putObject("customers"), admission);
    ArrayNode changes = root.putArray("changes");
    for (ServiceLevelChange change : admission.changes()) {
      addChange(changes.addObject(), change);
    }
    return root.toPrettyString().concat("\n").getBytes(StandardCharsets.UTF_8);
  }

  private void addTotals(ObjectNode root, AdmissionController admission) {
    ObjectNode seconds = root.putObject("seconds_at");
    ObjectNode rejections = root.putObject("pushed_back");
    for (ServiceLevel level : ServiceLevel.values()) {
      String word = EnumWords.wordOf(level);
      seconds.put(word, seconds(admission.timeAt(level)));
      for (int i = 0; i < settings.requestClassCount(); i++) {
        long count = admission.rejections(level, i);
        if (count > 0) {
          rejections.withObject("/" + word).put(settings.requestClass(i).name(), count);
        }
      }
    }
  }

  private void addTenants(ObjectNode tenants, AdmissionController admission) {
    for (int i = 0; i < settings.tenantCount(); i++) {
      ObjectNode tenant = tenants.putObject(settings.tenantName(i));
      tenant.put("level", EnumWords.wordOf(admission.level(i)));
      tenant.put("depth", admission.shedFraction(i));
    }
  }

  private void addChange(ObjectNode node, ServiceLevelChange change) {
    node.put("at_s", seconds(change.time()));
    node.put("for", change.tenant() < 0 ? "all" : settings.tenantName(change.tenant()));
    node.put("from", EnumWords.wordOf(change.previous()));
    node.put("to", EnumWords.wordOf(change.current()));
    node.put("condition", change.condition());
    node.put("pressure", change.pressure());
    node.put("evidence", change.samples());
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / MILLIS_PER_SECOND;
  }
}
