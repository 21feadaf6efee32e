package switchgap.server.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import switchgap.config.InvalidConfigException;
import switchgap.config.JsonDocument;
import switchgap.config.PropertyRouterSettings;
import switchgap.endpoints.EndpointListEvent;
import switchgap.endpoints.EndpointNames;

/**
 * The configuration that the platform passes to a router at its start: environment variables and
 * the file that one of them names. An invalid value causes an {@link InvalidConfigException} that
 * names the variable, or the file and the key.
 *
 * @param name the router's name, for its log
 * @param listenAddress the address that clients connect to
 * @param seed seed of the router's random numbers
 * @param maxSockets maximum number of file descriptors that the router may use
 * @param eventStream address of the stream of endpoint list events
 * @param lastSequence sequence number of the last event in {@code knownEvents}
 * @param knownEvents the events that make up the initial endpoint list
 * @param settings the operators' settings
 * @param endpointNames resolves the names in endpoint list events
 */
record PlatformConfig(
    String name,
    InetSocketAddress listenAddress,
    long seed,
    int maxSockets,
    InetSocketAddress eventStream,
    long lastSequence,
    List<EndpointListEvent> knownEvents,
    PropertyRouterSettings settings,
    EndpointNames endpointNames) {
  private static final String FILE_VARIABLE = "NODE_CONFIG";
  private static final String LISTEN_VARIABLE = "NODE_LISTEN";
  private static final String NAME_VARIABLE = "NODE_NAME";

  /**
   * Reads the file that the environment names. Other environment variables take precedence over
   * values in the file.
   *
   * @param startedAtMillis start of the router, in milliseconds of Unix time
   */
  static PlatformConfig read(Map<String, String> environment, long startedAtMillis) {
    PlatformConfigFile file = readFile(environment);
    String listen = environment.getOrDefault(LISTEN_VARIABLE, file.text("listen"));
    String name = environment.getOrDefault(NAME_VARIABLE, file.text("name"));
    Map<String, Object> nestedSettings = file.settings();
    try {
      PropertyRouterSettings settings =
          new PropertyRouterSettings(JsonDocument.flatten(nestedSettings));
      EndpointNames endpointNames =
          EndpointNames.ofIndices(
              settings.listIndices("Zones"), settings.listIndices("Skus"), startedAtMillis);
      int maxSockets = file.maxSockets();
      PlatformConfigFile.KnownEvents knownEvents = file.knownEvents(endpointNames);
      InetSocketAddress listenAddress = PlatformConfigFile.address(LISTEN_VARIABLE, listen);
      long seed = file.seed();
      return new PlatformConfig(
          name,
          listenAddress,
          seed,
          maxSockets,
          file.eventStream(),
          knownEvents.lastSequence(),
          knownEvents.events(),
          settings,
          endpointNames);
    } catch (IOException | IllegalArgumentException e) {
      throw new InvalidConfigException(file.toString(), e.getMessage());
    }
  }

  /** Rereads only the event stream's address from the file, and resolves it. */
  static InetSocketAddress readEventStream(Map<String, String> environment) {
    return readFile(environment).resolvedEventStream();
  }

  private static PlatformConfigFile readFile(Map<String, String> environment) {
    String path = environment.get(FILE_VARIABLE);
    if (path == null || path.isEmpty()) {
      throw new InvalidConfigException(FILE_VARIABLE, "is not set");
    }
    return PlatformConfigFile.read(Path.of(path));
  }
}
