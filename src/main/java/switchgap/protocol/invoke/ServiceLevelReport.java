package switchgap.protocol.invoke;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.EnumWords;
import switchgap.config.YamlRouterSettings;

/**
 * Reports a router's service levels as JSON: the current ones, totals since the start, and recent
 * changes.
 */
final class ServiceLevelReport {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final YamlRouterSettings settings;

  ServiceLevelReport(YamlRouterSettings settings) {
    this.settings = settings;
  }

  /** Returns the current report in UTF-8; on the event loop. */
  byte[] toJson(AdmissionController admission) {
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
      String levelName = EnumWords.wordOf(level);
      seconds.put(levelName, seconds(admission.timeAt(level)));
      for (int i = 0; i < settings.requestClassCount(); i++) {
        long count = admission.rejections(level, i);
        if (count > 0) {
          rejections.withObject("/" + levelName).put(settings.requestClass(i).name(), count);
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
    node.put("for", change.appliesToAll() ? "all" : settings.tenantName(change.tenant()));
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
