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
import switchgap.policy.api.WorkerState;
import switchgap.router.EndpointUpdate;

/**
 * One version of the gateway's endpoint list as a line of JSON: {@code
 * {"whole":true,"version":7,"workers":[{"name":"w1","host":"127.0.0.1","port":8001,"state":"ready",
 * "zone":"a","cell":0,"kind":"std","size":1,"started":1764600000000}]}}; {@code started} is in
 * milliseconds of Unix time, and absent if the worker started long ago. One invalid entry makes the
 * whole line invalid. Its parser shares no code with {@link EndpointListEvent}, because the keys,
 * state names and limits differ, and because an unknown zone is an error here.
 *
 * @param complete whether the updates are the complete list rather than changes to it
 * @param version version number of the list, which increases by one with each change
 * @param updates the entries in the order of the line
 */
public record EndpointListLine(boolean complete, long version, List<EndpointUpdate> updates) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_WORKERS = 100_000;
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_PORT = 65535;
  private static final double MAX_CAPACITY = 1e9;
  private static final double DEFAULT_CAPACITY = 1;
  private static final String DEFAULT_HOST = "127.0.0.1";

  private static final String COMPLETE_KEY = "whole";
  private static final String VERSION_KEY = "version";
  private static final String WORKERS_KEY = "workers";

  private static final String NAME_KEY = "name";
  private static final String HOST_KEY = "host";
  private static final String PORT_KEY = "port";
  private static final String STATE_KEY = "state";
  private static final String ZONE_KEY = "zone";
  private static final String CELL_KEY = "cell";
  private static final String KIND_KEY = "kind";
  private static final String CAPACITY_KEY = "size";
  private static final String STARTED_AT_MILLIS_KEY = "started";

  /**
   * Parses a line.
   *
   * @throws InvalidEndpointListException if an entry can't be used; the message names the worker
   *     and the reason
   * @throws IOException if the line is not JSON
   */
  public static EndpointListLine parse(String line, EndpointNames names) throws IOException {
    JsonNode list = JSON.readTree(line);
    JsonNode workers = list == null ? null : list.get(WORKERS_KEY);
    if (workers == null
        || !workers.isArray()
        || !list.path(VERSION_KEY).canConvertToLong()
        || !list.path(COMPLETE_KEY).isBoolean()) {
      throw new InvalidEndpointListException(
          "endpoint list must have the keys whole (boolean), version (number) and workers (list)");
    }
    if (workers.size() > MAX_WORKERS) {
      throw new InvalidEndpointListException(
          "endpoint list has more than " + MAX_WORKERS + " workers");
    }
    List<EndpointUpdate> updates = new ArrayList<>();
    Set<String> workerNames = new HashSet<>();
    for (JsonNode worker : workers) {
      String name = readName(worker);
      if (!workerNames.add(name)) {
        throw new InvalidEndpointListException("worker " + name + " is listed twice");
      }
      updates.add(readWorker(name, worker, names));
    }
    return new EndpointListLine(
        list.get(COMPLETE_KEY).asBoolean(), list.get(VERSION_KEY).asLong(), updates);
  }

  private static String readName(JsonNode worker) throws InvalidEndpointListException {
    String name = worker.path(NAME_KEY).asText("");
    if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
      throw new InvalidEndpointListException(
          "worker name is empty or longer than " + MAX_NAME_LENGTH + " characters");
    }
    return name;
  }

  private static EndpointUpdate readWorker(String name, JsonNode worker, EndpointNames names)
      throws InvalidEndpointListException {
    int port = worker.path(PORT_KEY).asInt(-1);
    if (port < 1 || port > MAX_PORT) {
      throw invalid(name, "port " + port + " is not in the range 1 to " + MAX_PORT);
    }
    double capacity = worker.path(CAPACITY_KEY).asDouble(DEFAULT_CAPACITY);
    if (!(capacity >= 0 && capacity < MAX_CAPACITY)) {
      throw invalid(name, "size " + capacity + " is not in the range 0 to " + MAX_CAPACITY);
    }
    WorkerState state = readState(name, worker);
    int zone = names.zones().applyAsInt(worker.path(ZONE_KEY).asText(""));
    if (zone < 0) {
      throw invalid(name, "unknown zone " + worker.path(ZONE_KEY));
    }
    String host = worker.path(HOST_KEY).asText(DEFAULT_HOST);
    int cell = worker.path(CELL_KEY).asInt(0);
    int kind = names.workerKinds().applyAsInt(worker.path(KIND_KEY).asText(""));
    Duration startedAt =
        worker.hasNonNull(STARTED_AT_MILLIS_KEY)
            ? names.sinceRouterStart(worker.get(STARTED_AT_MILLIS_KEY).asLong())
            : null;
    return new EndpointUpdate(name, host, port, state, zone, cell, kind, capacity, startedAt);
  }

  private static WorkerState readState(String name, JsonNode worker)
      throws InvalidEndpointListException {
    try {
      return WorkerState.valueOf(worker.path(STATE_KEY).asText("").toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw invalid(name, "state " + worker.path(STATE_KEY) + " is not ready, draining or gone");
    }
  }

  private static InvalidEndpointListException invalid(String name, String reason) {
    return new InvalidEndpointListException("worker " + name + ": " + reason);
  }
}
