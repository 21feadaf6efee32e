package switchgap.protocol.invoke;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.router.AdmissionGate;

/** Shows the levels of a router and pins them; on the router's loop. */
final class ServiceLevelHandler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LONGEST_PIN = 86_400;
    private final YamlRouterSettings terms;

    ServiceLevelHandler(YamlRouterSettings terms) { this.terms = terms; }

    /** {@code GET /v1/levels}: now and the last changes; {@code POST /v1/levels?pin=RUNG&seconds=N}: a pin that expires. */
    void asked(HttpExchange r, AdmissionGate gate) {
        AdmissionController l = gate.admission();
        if (l == null) {
            InvokeApi.refuse(r, new ProblemDetails(404, "no-levels", "levels do not act at this router"),
                null);
            return;
        }
        if (r.method.equals("POST")) {
            ServiceLevel rung = null;
            for (ServiceLevel g : ServiceLevel.values()) {
                rung = YamlDocument.word(g).equals(r.queryParameter("pin")) && g != ServiceLevel.SHARE ? g
                    : rung;
            }
            long seconds = seconds(r.queryParameter("seconds"));
            if (rung == null || seconds < 1 || seconds > LONGEST_PIN) {
                InvokeApi.refuse(r,
                    new ProblemDetails(400, "malformed-pin",
                        "pin must be full, least, most or hold, seconds from 1 to "
                            + LONGEST_PIN),
                    null);
                return;
            }
            gate.pin(rung, Duration.ofSeconds(seconds));
        }
        r.respond(200, Map.of("Content-Type", "application/json"), show(l));
    }

    private static long seconds(String s) {
        try {
            return s == null ? -1 : Long.parseLong(s);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private byte[] show(AdmissionController l) {
        ObjectNode n = JSON.createObjectNode();
        n.put("level", YamlDocument.word(l.level())).put("depth", l.shedFraction()).put("pinned",
            l.isPinned()).put("pressure", l.pressure());
        ObjectNode spent = n.putObject("seconds_at");
        ObjectNode touched = n.putObject("pushed_back");
        for (ServiceLevel g : ServiceLevel.values()) {
            spent.put(YamlDocument.word(g), l.timeAt(g).toMillis() / 1000.0);
            for (int w = 0; w < terms.requestClassCount(); w++) {
                long t = l.rejections(g, w);
                if (t > 0) {
                    touched.withObject("/" + YamlDocument.word(g)).put(terms.requestClass(w).name(), t);
                }
            }
        }
        ObjectNode customers = n.putObject("customers");
        for (int c = 0; c < terms.tenantCount(); c++) {
            customers.putObject(terms.tenantName(c)).put("level", YamlDocument.word(l.level(c))).put("depth",
                l.shedFraction(c));
        }
        ArrayNode all = n.putArray("changes");
        for (ServiceLevelChange c : l.changes()) {
            all.addObject().put("at_s", c.at().toMillis() / 1000.0).put("for", c.tenant() < 0 ? "all"
                : terms.tenantName(c.tenant())).put("from", YamlDocument.word(c.from())).put("to",
                    YamlDocument.word(c.to())).put("condition", c.condition()).put("pressure",
                        c.pressure()).put("evidence", c.samples());
        }
        return n.toPrettyString().concat("\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Plain metrics of the levels and of the calls ended: finished, pushed back, killed, overdue. */
    byte[] metrics(AdmissionController l, int held, long[] ends) {
        StringBuilder s = new StringBuilder();
        s.append("switchgap_calls_held ").append(held).append('\n');
        String[] kinds = {"finished", "pushed_back", "killed", "overdue"};
        for (int i = 0; i < kinds.length; i++) {
            s.append("switchgap_calls_ended{end=\"").append(kinds[i]).append("\"} ").append(ends[i]).append(
                '\n');
        }
        if (l != null) {
            s.append("switchgap_level ").append(l.level().ordinal()).append('\n');
            s.append("switchgap_level_depth ").append(
                String.format(Locale.ROOT, "%.3f", l.shedFraction())).append('\n');
            for (ServiceLevel g : ServiceLevel.values()) {
                s.append("switchgap_level_seconds{level=\"").append(YamlDocument.word(g)).append(
                    "\"} ").append(l.timeAt(g).toMillis() / 1000.0).append('\n');
                for (int w = 0; w < terms.requestClassCount(); w++) {
                    s.append("switchgap_level_pushed_back{level=\"").append(YamlDocument.word(g)).append(
                        "\",workload=\"").append(terms.requestClass(w).name()).append("\"} ").append(
                            l.rejections(g, w)).append('\n');
                }
            }
        }
        return s.toString().getBytes(StandardCharsets.UTF_8);
    }
}
