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
 * The JSON file with which the platform configures a router. A missing or invalid member causes an
 * {@link InvalidConfigException} that names the file and the key.
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

  /** Reads and parses a file. */
  static PlatformConfigFile read(Path path) {
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw new InvalidConfigException(
            path.toString(), "larger than " + MAX_FILE_BYTES + " bytes");
      }
      String text = Files.readString(path, StandardCharsets.UTF_8);
      return new PlatformConfigFile(path, JsonDocument.parseObject(text));
    } catch (IOException e) {
      // a separate catch clause would make the verifier load the exception class at every start
      String reason = e instanceof NoSuchFileException ? "no such file" : e.getMessage();
      throw new InvalidConfigException(path.toString(), reason);
    }
  }

  /** The value of a member that must be a non-empty string. */
  String text(String key) {
    if (members.get(key) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw invalid(key, "must be a non-empty string");
  }

  /** The operators' settings, as nested objects. */
  @SuppressWarnings("unchecked") // objects of JsonDocument have string keys
  Map<String, Object> settings() {
    if (members.get("settings") instanceof Map<?, ?> settings) {
      return (Map<String, Object>) settings;
    }
    throw invalid("settings", "must be an object");
  }

  /** Maximum number of file descriptors that the router may use. */
  int maxSockets() {
    if (members.get("limits") instanceof Map<?, ?> limits
        && limits.get("sockets") instanceof Number sockets
        && sockets.intValue() > 0) {
      return sockets.intValue();
    }
    throw invalid("limits.sockets", "must be a number above 0");
  }

  /**
   * The events that make up the initial endpoint list, with their names resolved by {@code
   * endpointNames}.
   */
  KnownEvents knownEvents(EndpointNames endpointNames) throws IOException {
    if (members.get("known") instanceof Map<?, ?> knownMembers
        && knownMembers.get("n") instanceof Number lastSequence
        && knownMembers.get("events") instanceof List<?> events) {
      return new KnownEvents(lastSequence.longValue(), endpointListEvents(events, endpointNames));
    }
    throw invalid("known", "must be an object with a number n and a list of events");
  }

  /**
   * The endpoint list at the router's start.
   *
   * @param lastSequence sequence number of the last event
   * @param events all events up to it
   */
  record KnownEvents(long lastSequence, List<EndpointListEvent> events) {}

  private List<EndpointListEvent> endpointListEvents(List<?> events, EndpointNames endpointNames)
      throws IOException {
    List<EndpointListEvent> endpointListEvents = new ArrayList<>();
    for (Object event : events) {
      if (!(event instanceof Map<?, ?> eventMembers)) {
        throw invalid("known.events", "must contain objects only");
      }
      endpointListEvents.add(EndpointListEvent.fromJson(eventMembers, endpointNames));
    }
    return endpointListEvents;
  }

  /** The seed of the router's random numbers. */
  long seed() {
    String seed = text("seed");
    try {
      return Long.parseUnsignedLong(seed, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw invalid("seed", "not a hexadecimal number: " + seed);
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
      throw invalid("feed", "cannot resolve host " + address.getHostString());
    }
    return address;
  }

  /**
   * Parses an address, which may be unresolved.
   *
   * @param source where the text was read, for the exception if it is invalid
   */
  static InetSocketAddress address(String source, String text) {
    int colon = text.lastIndexOf(':');
    int port = port(text.substring(colon + 1));
    if (colon <= 0 || port < 0) {
      throw new InvalidConfigException(source, "not of the form host:port: " + text);
    }
    return new InetSocketAddress(text.substring(0, colon), port);
  }

  /** Parses a port; returns -1 if the text is not one. */
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
