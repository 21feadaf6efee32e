package switchgap.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToIntFunction;
import switchgap.policy.api.WorkerState;
import switchgap.router.EndpointUpdate;

/**
 * One version of the list as a line of JSON: {@code {"whole":true,"version":7,"workers":[{"name":"w1",
 * "host":"127.0.0.1","port":8001,"state":"ready","zone":"a","cell":0,"kind":"std","size":1,"started":1764600000000}]}};
 * {@code started} in milliseconds of wall time, left out where it is long past. A line is good as a whole or not at all.
 */
public record EndpointListLine(boolean complete, long version, List<EndpointUpdate> updates) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST_WORKERS = 100_000;

    /** Reads a line; {@code born} is the router's start in milliseconds of wall time. Throws with the reason. */
    public static EndpointListLine parse(String line, long born, ToIntFunction<String> zones,
        ToIntFunction<String> kinds)
        throws IOException {
        JsonNode n = JSON.readTree(line);
        JsonNode all = n == null ? null : n.get("workers");
        if (all == null || !all.isArray() || !n.path("version").canConvertToLong()
            || !n.path("whole").isBoolean()) {
            throw new IOException("a list needs whole, version and workers");
        }
        if (all.size() > MOST_WORKERS) { throw new IOException("more than " + MOST_WORKERS + " workers"); }
        List<EndpointUpdate> workers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonNode w : all) {
            String name = w.path("name").asText("");
            if (name.isEmpty() || name.length() > 200) {
                throw new IOException("a worker without a usable name");
            }
            if (!names.add(name)) { throw new IOException("worker " + name + " stands twice"); }
            int port = w.path("port").asInt(-1);
            if (port < 1 || port > 65535) { throw new IOException("worker " + name + ": port " + port); }
            double size = w.path("size").asDouble(1);
            if (!(size >= 0 && size < 1e9)) { throw new IOException("worker " + name + ": size " + size); }
            WorkerState standing;
            try {
                standing = WorkerState.valueOf(w.path("state").asText("").toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new IOException(
                    "worker " + name + ": state " + w.path("state") + " is not ready, draining or gone");
            }
            int zone = zones.applyAsInt(w.path("zone").asText(""));
            if (zone < 0) { throw new IOException("worker " + name + ": unknown zone " + w.path("zone")); }
            workers.add(new EndpointUpdate(name, w.path("host").asText("127.0.0.1"), port, standing, zone,
                w.path("cell").asInt(0), kinds.applyAsInt(w.path("kind").asText("")), size,
                w.hasNonNull("started") ? Duration.ofMillis(w.get("started").asLong() - born) : null));
        }
        return new EndpointListLine(n.get("whole").asBoolean(), n.get("version").asLong(), workers);
    }
}
