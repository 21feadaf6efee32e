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
import switchgap.endpoints.EndpointListEvent;
import switchgap.endpoints.EndpointNames;

/**
 * The JSON file that the platform gives a router. An unusable member is an {@link
 * InvalidConfigException} that names the file and the key.
 */
final class PlatformConfigFile {
  private static final int MAX_FILE_BYTES = 8 << 20;
  private static final int MAX_PORT = 0xffff;
  private static final int SEED_RADIX = 16;

  private final Path path;
  private final Map<String, Object> members;

  private PlatformConfigFile(Path path, Map<String, Object> members) {
    this.path = path;
    this.members = members;
  }

  /** Reads a file, once. */
  static PlatformConfigFile read(Path path) {
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw new InvalidConfigException(
            path.toString(), "larger than " + MAX_FILE_BYTES + " bytes");
      }
      String text = Files.readString(path, StandardCharsets.UTF_8);
      return new PlatformConfigFile(path, JsonDocument.parseObject(text));
    } catch (IOException e) {
      // no catch clause of its own: the verifier would load the exception at each start
      String reason = e instanceof NoSuchFileException ? "no such file" : e.getMessage();
      throw new InvalidConfigException(path.toString(), reason);
    }
  }

  /** The text of a member. */
  String text(String key) {
    if (members.get(key) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw invalid(key, "no text");
  }

  /** The operators' settings, as nested objects. */
  @SuppressWarnings("unchecked") // JsonDocument's objects have strings as keys
  Map<String, Object> settings() {
    if (members.get("settings") instanceof Map<?, ?> settings) {
      return (Map<String, Object>) settings;
    }
    throw invalid("settings", "no object");
  }

  /** Descriptors that the router may use. */
  int maxSockets() {
    if (members.get("limits") instanceof Map<?, ?> limits
        && limits.get("sockets") instanceof Number sockets
        && sockets.intValue() > 0) {
      return sockets.intValue();
    }
    throw invalid("limits.sockets", "no number above 0");
  }

  /** The endpoint list so far; the names in it are read by the directory. */
  KnownEvents knownEvents(EndpointNames endpointNames) throws IOException {
    if (members.get("known") instanceof Map<?, ?> known
        && known.get("n") instanceof Number lastSequence
        && known.get("events") instanceof List<?> events) {
      return new KnownEvents(lastSequence.longValue(), endpointListEvents(events, endpointNames));
    }
    throw invalid("known", "no last number with its events");
  }

  /**
   * The endpoint list at the router's start.
   *
   * @param lastSequence number of the last event
   * @param events all events up to it
   */
  record KnownEvents(long lastSequence, List<EndpointListEvent> events) {}

  private List<EndpointListEvent> endpointListEvents(List<?> events, EndpointNames endpointNames)
      throws IOException {
    List<EndpointListEvent> endpointListEvents = new ArrayList<>();
    for (Object event : events) {
      if (!(event instanceof Map<?, ?> eventMembers)) {
        throw invalid("known.events", "no object");
      }
      endpointListEvents.add(EndpointListEvent.fromJson(eventMembers, endpointNames));
    }
    return endpointListEvents;
  }

  /** The seed of the router's random draws. */
  long seed() {
    String seed = text("seed");
    try {
      return Long.parseUnsignedLong(seed, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw invalid("seed", "no hexadecimal number: " + seed);
    }
  }

  /** The address of the event stream, which may be unresolved. */
  InetSocketAddress eventStream() {
    return address(path + ": feed", text("feed"));
  }

  /** The address of the event stream, resolved. */
  InetSocketAddress resolvedEventStream() {
    InetSocketAddress address = eventStream();
    if (address.isUnresolved()) {
      throw invalid("feed", "no address for " + address.getHostString());
    }
    return address;
  }

  /**
   * Parses an address, which may be unresolved.
   *
   * @param source what the text was read from, named if it is no address
   */
  static InetSocketAddress address(String source, String text) {
    int colon = text.lastIndexOf(':');
    int port = port(text.substring(colon + 1));
    if (colon <= 0 || port < 0) {
      throw new InvalidConfigException(source, "no host:port: " + text);
    }
    return new InetSocketAddress(text.substring(0, colon), port);
  }

  /** The port, or -1 if the text is none. */
  private static int port(String text) {
    try {
      int port = Integer.parseInt(text);
      return port >= 0 && port <= MAX_PORT ? port : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private InvalidConfigException invalid(String key, String reason) {
    return new InvalidConfigException(path + ": " + key, reason);
  }

  @Override
  public String toString() {
    return path.toString();
  }
}
