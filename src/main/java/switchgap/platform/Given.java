package switchgap.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import switchgap.endpoints.EndpointListEvent;
import switchgap.json.Json;
import switchgap.stated.StatedTerms;

/** What the platform tells a router at its start: its name and address, limits, the feed, the list so far and the terms. */
record Given(String name, InetSocketAddress listen, long seed, int sockets, InetSocketAddress feed, long lastEvent,
             List<EndpointListEvent> known, StatedTerms terms, EndpointListEvent.NameDirectory book) {
    private static final int MOST_BYTES = 8 << 20;

    /** Reads what the environment names. */
    static Given read(Map<String, String> environment, long born) throws Unusable {
        Path file = Path.of(variable(environment, "NODE_CONFIG"));
        Map<String, Object> o = object(file);
        String listen = environment.getOrDefault("NODE_LISTEN", text(o, file, "listen"));
        String name = environment.getOrDefault("NODE_NAME", text(o, file, "name"));
        if (!(o.get("settings") instanceof Map<?, ?> m)) { throw new Unusable(file + ": settings", "no object"); }
        @SuppressWarnings("unchecked") Map<String, Object> stated = (Map<String, Object>) m;
        try {
            StatedTerms terms = new StatedTerms(Json.paths(stated));
            EndpointListEvent.NameDirectory book = new EndpointListEvent.NameDirectory(terms.places("Zones"), terms.places("Skus"), born);
            Object limits = o.get("limits");
            int sockets = limits instanceof Map<?, ?> l && l.get("sockets") instanceof Number n ? n.intValue() : 0;
            if (sockets <= 0) { throw new Unusable(file + ": limits.sockets", "no number above 0"); }
            Object known = o.get("known");
            if (!(known instanceof Map<?, ?> k) || !(k.get("n") instanceof Number last) || !(k.get("events") instanceof List<?> all)) {
                throw new Unusable(file + ": known", "no last number with its events");
            }
            List<EndpointListEvent> events = new ArrayList<>();
            for (Object e : all) {
                if (!(e instanceof Map<?, ?> x)) { throw new Unusable(file + ": known.events", "no object"); }
                events.add(EndpointListEvent.of(x, book));
            }
            return new Given(name, address("NODE_LISTEN", listen), seed(file, o), sockets, feed(o, file), last.longValue(), events, terms, book);
        } catch (IOException | IllegalArgumentException x) {
            throw new Unusable(file.toString(), x.getMessage());
        }
    }

    /** The feed's address as the file has it now. */
    static InetSocketAddress feed(Map<String, String> environment) throws Unusable {
        Path file = Path.of(variable(environment, "NODE_CONFIG"));
        return feed(object(file), file);
    }

    private static InetSocketAddress feed(Map<String, Object> o, Path file) throws Unusable {
        return address(file + ": feed", text(o, file, "feed"));
    }

    private static long seed(Path file, Map<String, Object> o) throws Unusable {
        String s = text(o, file, "seed");
        try {
            return Long.parseUnsignedLong(s, 16);
        } catch (NumberFormatException x) {
            throw new Unusable(file + ": seed", "no hexadecimal number: " + s);
        }
    }

    private static String variable(Map<String, String> environment, String name) throws Unusable {
        String v = environment.get(name);
        if (v == null || v.isEmpty()) { throw new Unusable(name, "is not set"); }
        return v;
    }

    private static Map<String, Object> object(Path file) throws Unusable {
        try {
            if (Files.size(file) > MOST_BYTES) { throw new Unusable(file.toString(), "larger than " + MOST_BYTES + " bytes"); }
            return Json.object(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException x) {
            throw new Unusable(file.toString(), x instanceof java.nio.file.NoSuchFileException ? "no such file" : x.getMessage());
        }
    }

    private static String text(Map<String, Object> o, Path file, String key) throws Unusable {
        if (o.get(key) instanceof String s && !s.isEmpty()) { return s; }
        throw new Unusable(file + ": " + key, "no text");
    }

    private static InetSocketAddress address(String where, String s) throws Unusable {
        int colon = s.lastIndexOf(':');
        try {
            int port = Integer.parseInt(s.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 0xffff) { return new InetSocketAddress(s.substring(0, colon), port); }
        } catch (NumberFormatException x) {
            // no port: told below
        }
        throw new Unusable(where, "no host:port: " + s);
    }
}
