package switchgap.protocol.inference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.LoadReport;

/**
 * Load reports in the response header {@code endpoint-load-metrics} of the Open Request Cost Aggregation format, in
 * its TEXT and JSON forms. A value that can't be read is left out; a report never fails a reply.
 */
final class OrcaLoadReport {
    static final String HEADER = "endpoint-load-metrics";
    private static final int MOST = 4096;
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Map<String, Double> values = new HashMap<>();

    private OrcaLoadReport() {}

    static OrcaLoadReport read(Map<String, String> headers) {
        OrcaLoadReport o = new OrcaLoadReport();
        String h = headers.get(HEADER);
        if (h == null || h.length() > MOST) { return o; }
        if (h.startsWith("JSON")) {
            try {
                o.json("", JSON.readTree(h.substring(4)));
            } catch (IOException e) {
                o.values.clear();
            }
        } else {
            for (String part : (h.startsWith("TEXT") ? h.substring(4) : h).split(",")) {
                int eq = part.indexOf('=');
                if (eq > 0) { o.put(part.substring(0, eq).trim(), part.substring(eq + 1).trim()); }
            }
        }
        return o;
    }

    private void json(String under, JsonNode n) {
        n.properties().forEach(e -> {
            if (e.getValue().isObject()) {
                json(under + e.getKey() + ".", e.getValue());
            } else if (e.getValue().isNumber()) {
                values.put(under + e.getKey(), e.getValue().asDouble());
            }
        });
    }

    private void put(String name, String text) {
        try {
            double v = Double.parseDouble(text);
            if (Double.isFinite(v) && v >= 0) { values.put(name, v); }
        } catch (NumberFormatException e) {
            values.remove(name);
        }
    }

    /** A named metric, or NaN. */
    double named(String name) {
        return values.getOrDefault("named_metrics." + name, Double.NaN);
    }

    /** The part of the report that the module uses. */
    LoadReport loads() {
        double crowd = named("crowd");
        return new LoadReport(values.getOrDefault("cpu_utilization", Double.NaN), named("inflight"),
            named("queue"),
            Double.isNaN(crowd) ? -1 : (int) Math.min(crowd, Integer.MAX_VALUE));
    }
}
