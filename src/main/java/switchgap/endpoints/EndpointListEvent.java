package switchgap.endpoints;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import switchgap.config.JsonDocument;
import switchgap.policy.api.WorkerState;
import switchgap.router.EndpointUpdate;

/** One numbered event: a version of the list, whole or its changes; an event of another kind has no list. */
public record EndpointListEvent(long sequence, boolean complete, List<EndpointUpdate> updates) {
    /** Names of zones and of kinds of worker as the operators state them, and the Unix millisecond of the router's start. */
    public record NameDirectory(Map<String, Integer> zones, Map<String, Integer> kinds,
        long startedAtMillis) {}

    private static final int MOST_WORKERS = 4096;

    static EndpointListEvent parse(String text, NameDirectory book) throws IOException {
        try {
            return fromJson(JsonDocument.parseObject(text), book);
        } catch (IOException e) {
            throw new IOException("event: " + e.getMessage(), e);
        }
    }

    /** Reads one that is decoded already; a mistake is named by its key. */
    public static EndpointListEvent fromJson(Map<?, ?> o, NameDirectory book) throws IOException {
        long number = (long) number(o, "n");
        if (!(o.get("members") instanceof Map<?, ?> m)) { return new EndpointListEvent(number, false, null); }
        if (!(m.get("targets") instanceof List<?> l) || l.size() > MOST_WORKERS) {
            throw new IOException("members.targets: no list, or too long");
        }
        List<EndpointUpdate> workers = new ArrayList<>(l.size());
        for (Object t : l) {
            if (!(t instanceof Map<?, ?> w)) { throw new IOException("members.targets: no object"); }
            workers.add(worker(w, book));
        }
        return new EndpointListEvent(number, Boolean.TRUE.equals(m.get("all")), workers);
    }

    private static EndpointUpdate worker(Map<?, ?> w, NameDirectory book) throws IOException {
        WorkerState standing = switch (text(w, "state")) {
            case "SERVING" -> WorkerState.READY;
            case "DRAINING" -> WorkerState.DRAINING;
            case "DELETED" -> WorkerState.GONE;
            default -> throw new IOException("state: unknown word " + w.get("state"));
        };
        String name = text(w, "uid");
        String host = "";
        int port = 0;
        if (standing != WorkerState.GONE || w.get("endpoint") != null) {
            URI at = URI.create("tcp://" + text(w, "endpoint").replace(' ', '_'));
            host = at.getHost();
            port = at.getPort();
            if (host == null || port <= 0 || port > 0xffff) {
                throw new IOException("endpoint: " + w.get("endpoint"));
            }
        }
        double boot = w.get("boot_ms") == null ? 0 : number(w, "boot_ms");
        return new EndpointUpdate(name, host, port, standing, place(book.zones, w.get("az")),
            (int) (w.get("pod_group") == null ? 0 : number(w, "pod_group")),
            place(book.kinds, w.get("model")),
            w.get("capacity_hint") == null ? 0 : number(w, "capacity_hint"),
            boot == 0 ? null : Duration.ofMillis((long) boot - book.startedAtMillis));
    }

    /** One that the terms do not name stands past all that they do. */
    private static int place(Map<String, Integer> names, Object name) {
        return names.getOrDefault(String.valueOf(name), names.size());
    }

    private static String text(Map<?, ?> o, String key) throws IOException {
        if (o.get(key) instanceof String s && !s.isEmpty()) { return s; }
        throw new IOException(key + ": no text");
    }

    private static double number(Map<?, ?> o, String key) throws IOException {
        if (o.get(key) instanceof Number n && Double.isFinite(n.doubleValue())) { return n.doubleValue(); }
        throw new IOException(key + ": no number");
    }
}
