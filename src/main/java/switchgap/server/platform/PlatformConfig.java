package switchgap.server.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import switchgap.config.InvalidConfigException;
import switchgap.config.JsonDocument;
import switchgap.config.PropertyRouterSettings;
import switchgap.endpoints.EndpointListEvent;
import switchgap.endpoints.EndpointNames;

/**
 * The configuration that the platform gives a router at its start. What can't be used is an {@link
 * InvalidConfigException} that names the file and the key, or the variable.
 *
 * @param seed of the router's random draws
 * @param maxSockets descriptors that the router may use
 * @param feed address of the control feed
 * @param lastSequence number of the last event in {@code knownEvents}
 * @param knownEvents the endpoint list so far
 * @param settings what the operators state
 * @param endpointNames reads the names in events
 */
record PlatformConfig(
    String name,
    InetSocketAddress listenAddress,
    long seed,
    int maxSockets,
    InetSocketAddress feed,
    long lastSequence,
    List<EndpointListEvent> knownEvents,
    PropertyRouterSettings settings,
    EndpointNames endpointNames) {
  private static final int MAX_FILE_BYTES = 8 << 20;
  private static final int MAX_PORT = 0xffff;
  private static final int SEED_RADIX = 16;

  private static final String FILE_VARIABLE = "NODE_CONFIG";
  private static final String LISTEN_VARIABLE = "NODE_LISTEN";
  private static final String NAME_VARIABLE = "NODE_NAME";

  /**
   * Reads the file that the environment names; variables go before what the file says.
   *
   * @param startedAtMillis start of the router, in milliseconds of Unix time
   */
  static PlatformConfig read(Map<String, String> environment, long startedAtMillis) {
    Path file = Path.of(variable(environment, FILE_VARIABLE));
    Map<String, Object> members = readFile(file);
    String listen = environment.getOrDefault(LISTEN_VARIABLE, text(members, file, "listen"));
    String name = environment.getOrDefault(NAME_VARIABLE, text(members, file, "name"));
    Map<String, Object> stated = readSettings(members, file);
    try {
      PropertyRouterSettings settings = new PropertyRouterSettings(JsonDocument.flatten(stated));
      EndpointNames endpointNames =
          EndpointNames.ofIndices(
              settings.listIndices("Zones"), settings.listIndices("Skus"), startedAtMillis);
      int maxSockets = readMaxSockets(members, file);
      if (!(members.get("known") instanceof Map<?, ?> known)
          || !(known.get("n") instanceof Number lastSequence)
          || !(known.get("events") instanceof List<?> events)) {
        throw invalid(file, "known", "no last number with its events");
      }
      List<EndpointListEvent> knownEvents = readEvents(events, file, endpointNames);
      InetSocketAddress listenAddress = address(LISTEN_VARIABLE, listen);
      long seed = readSeed(members, file);
      return new PlatformConfig(
          name,
          listenAddress,
          seed,
          maxSockets,
          readFeed(members, file),
          lastSequence.longValue(),
          knownEvents,
          settings,
          endpointNames);
    } catch (IOException | IllegalArgumentException e) {
      throw new InvalidConfigException(file.toString(), e.getMessage());
    }
  }

  /** Reads the feed's address alone, as the file has it now. */
  static InetSocketAddress readFeed(Map<String, String> environment) {
    Path file = Path.of(variable(environment, FILE_VARIABLE));
    InetSocketAddress feed = readFeed(readFile(file), file);
    if (feed.isUnresolved()) {
      throw invalid(file, "feed", "no address for " + feed.getHostString());
    }
    return feed;
  }

  private static InetSocketAddress readFeed(Map<String, Object> members, Path file) {
    return address(file + ": feed", text(members, file, "feed"));
  }

  @SuppressWarnings("unchecked") // JsonDocument's objects have strings as keys
  private static Map<String, Object> readSettings(Map<String, Object> members, Path file) {
    if (members.get("settings") instanceof Map<?, ?> settings) {
      return (Map<String, Object>) settings;
    }
    throw invalid(file, "settings", "no object");
  }

  private static int readMaxSockets(Map<String, Object> members, Path file) {
    if (members.get("limits") instanceof Map<?, ?> limits
        && limits.get("sockets") instanceof Number sockets
        && sockets.intValue() > 0) {
      return sockets.intValue();
    }
    throw invalid(file, "limits.sockets", "no number above 0");
  }

  private static List<EndpointListEvent> readEvents(
      List<?> events, Path file, EndpointNames endpointNames) throws IOException {
    List<EndpointListEvent> knownEvents = new ArrayList<>();
    for (Object event : events) {
      if (!(event instanceof Map<?, ?> members)) {
        throw invalid(file, "known.events", "no object");
      }
      knownEvents.add(EndpointListEvent.fromJson(members, endpointNames));
    }
    return knownEvents;
  }

  private static long readSeed(Map<String, Object> members, Path file) {
    String seed = text(members, file, "seed");
    try {
      return Long.parseUnsignedLong(seed, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw invalid(file, "seed", "no hexadecimal number: " + seed);
    }
  }

  private static String variable(Map<String, String> environment, String name) {
    String value = environment.get(name);
    if (value == null || value.isEmpty()) {
      throw new InvalidConfigException(name, "is not set");
    }
    return value;
  }

  private static Map<String, Object> readFile(Path file) {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new InvalidConfigException(
            file.toString(), "larger than " + MAX_FILE_BYTES + " bytes");
      }
      return JsonDocument.parseObject(Files.readString(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      // no catch clause of its own: the verifier would load the exception at each start
      String reason = e instanceof NoSuchFileException ? "no such file" : e.getMessage();
      throw new InvalidConfigException(file.toString(), reason);
    }
  }

  private static String text(Map<String, Object> members, Path file, String key) {
    if (members.get(key) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw invalid(file, key, "no text");
  }

  private static InetSocketAddress address(String place, String text) {
    int colon = text.lastIndexOf(':');
    int port = port(text.substring(colon + 1));
    if (colon <= 0 || port < 0) {
      throw new InvalidConfigException(place, "no host:port: " + text);
    }
    return new InetSocketAddress(text.substring(0, colon), port);
  }

  /** The port, or -1 where the text is none. */
  private static int port(String text) {
    try {
      int port = Integer.parseInt(text);
      return port >= 0 && port <= MAX_PORT ? port : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static InvalidConfigException invalid(Path file, String key, String reason) {
    return new InvalidConfigException(file + ": " + key, reason);
  }
}
