package switchgap.server.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import switchgap.config.JsonDocument;
import switchgap.config.PropertyRouterSettings;
import switchgap.endpoints.EndpointListEvent;

/** What the platform tells a router at its start: its name and address, limits, the feed, the list so far and the terms. */
record PlatformConfig(String name, InetSocketAddress listen, long seed, int sockets, InetSocketAddress feed,
    long lastEvent,
    List<EndpointListEvent> known, PropertyRouterSettings terms, EndpointListEvent.NameDirectory book) {
    private static final int MOST_BYTES = 8 << 20;

    /** Reads what the environment names. */
    static PlatformConfig read(Map<String, String> environment, long born)
        throws InvalidPlatformConfigException {
        Path file = Path.of(variable(environment, "NODE_CONFIG"));
        Map<String, Object> o = object(file);
        String listen = environment.getOrDefault("NODE_LISTEN", text(o, file, "listen"));
        String name = environment.getOrDefault("NODE_NAME", text(o, file, "name"));
        if (!(o.get("settings") instanceof Map<?, ?> m)) {
            throw new InvalidPlatformConfigException(file + ": settings", "no object");
        }
        @SuppressWarnings("unchecked") Map<String, Object> stated = (Map<String, Object>) m;
        try {
            PropertyRouterSettings terms = new PropertyRouterSettings(JsonDocument.flatten(stated));
            EndpointListEvent.NameDirectory book = new EndpointListEvent.NameDirectory(
                terms.listIndices("Zones"), terms.listIndices("Skus"), born);
            Object limits = o.get("limits");
            int sockets = limits instanceof Map<?, ?> l && l.get("sockets") instanceof Number n ? n.intValue()
                : 0;
            if (sockets <= 0) {
                throw new InvalidPlatformConfigException(file + ": limits.sockets", "no number above 0");
            }
            Object known = o.get("known");
            if (!(known instanceof Map<?, ?> k) || !(k.get("n") instanceof Number last)
                || !(k.get("events") instanceof List<?> all)) {
                throw new InvalidPlatformConfigException(file + ": known", "no last number with its events");
            }
            List<EndpointListEvent> events = new ArrayList<>();
            for (Object e : all) {
                if (!(e instanceof Map<?, ?> x)) {
                    throw new InvalidPlatformConfigException(file + ": known.events", "no object");
                }
                events.add(EndpointListEvent.fromJson(x, book));
            }
            return new PlatformConfig(name, address("NODE_LISTEN", listen), seed(file, o), sockets,
                feed(o, file), last.longValue(), events, terms, book);
        } catch (IOException | IllegalArgumentException x) {
            throw new InvalidPlatformConfigException(file.toString(), x.getMessage());
        }
    }

    /** The feed's address as the file has it now. */
    static InetSocketAddress feed(Map<String, String> environment) throws InvalidPlatformConfigException {
        Path file = Path.of(variable(environment, "NODE_CONFIG"));
        return feed(object(file), file);
    }

    private static InetSocketAddress feed(Map<String, Object> o, Path file)
        throws InvalidPlatformConfigException {
        return address(file + ": feed", text(o, file, "feed"));
    }

    private static long seed(Path file, Map<String, Object> o) throws InvalidPlatformConfigException {
        String s = text(o, file, "seed");
        try {
            return Long.parseUnsignedLong(s, 16);
        } catch (NumberFormatException x) {
            throw new InvalidPlatformConfigException(file + ": seed", "no hexadecimal number: " + s);
        }
    }

    private static String variable(Map<String, String> environment, String name)
        throws InvalidPlatformConfigException {
        String v = environment.get(name);
        if (v == null || v.isEmpty()) { throw new InvalidPlatformConfigException(name, "is not set"); }
        return v;
    }

    private static Map<String, Object> object(Path file) throws InvalidPlatformConfigException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new InvalidPlatformConfigException(file.toString(),
                    "larger than " + MOST_BYTES + " bytes");
            }
            return JsonDocument.parseObject(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException x) {
            throw new InvalidPlatformConfigException(file.toString(),
                x instanceof java.nio.file.NoSuchFileException ? "no such file" : x.getMessage());
        }
    }

    private static String text(Map<String, Object> o, Path file, String key)
        throws InvalidPlatformConfigException {
        if (o.get(key) instanceof String s && !s.isEmpty()) { return s; }
        throw new InvalidPlatformConfigException(file + ": " + key, "no text");
    }

    private static InetSocketAddress address(String where, String s) throws InvalidPlatformConfigException {
        int colon = s.lastIndexOf(':');
        try {
            int port = Integer.parseInt(s.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 0xffff) {
                return new InetSocketAddress(s.substring(0, colon), port);
            }
        } catch (NumberFormatException x) {
            // no port: told below
        }
        throw new InvalidPlatformConfigException(where, "no host:port: " + s);
    }
}
