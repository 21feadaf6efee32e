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
 * milliseconds of Unix time, left out where it is long past. A line is good as a whole or not at
 * all. It is read apart from {@link EndpointListEvent} since the keys, words and bounds are its
 * own, and an unknown zone is a mistake here.
 *
 * @param complete whether the updates are the whole list rather than its changes
 * @param version counts up by one with each change
 */
public record EndpointListLine(boolean complete, long version, List<EndpointUpdate> updates) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_WORKERS = 100_000;
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_PORT = 65535;
  private static final double MAX_CAPACITY = 1e9;
  private static final double DEFAULT_CAPACITY = 1;
  private static final String DEFAULT_HOST = "127.0.0.1";

  private static final String COMPLETE = "whole";
  private static final String VERSION = "version";
  private static final String WORKERS = "workers";

  private static final String NAME = "name";
  private static final String HOST = "host";
  private static final String PORT = "port";
  private static final String STATE = "state";
  private static final String ZONE = "zone";
  private static final String CELL = "cell";
  private static final String KIND = "kind";
  private static final String CAPACITY = "size";
  private static final String STARTED_AT_MILLIS = "started";

  /** Reads a line; a mistake is an {@link IOException} with the worker and the reason. */
  public static EndpointListLine parse(String line, EndpointNames names) throws IOException {
    JsonNode list = JSON.readTree(line);
    JsonNode workers = list == null ? null : list.get(WORKERS);
    if (workers == null
        || !workers.isArray()
        || !list.path(VERSION).canConvertToLong()
        || !list.path(COMPLETE).isBoolean()) {
      throw new IOException("a list needs whole, version and workers");
    }
    if (workers.size() > MAX_WORKERS) {
      throw new IOException("more than " + MAX_WORKERS + " workers");
    }
    List<EndpointUpdate> updates = new ArrayList<>();
    Set<String> workerNames = new HashSet<>();
    for (JsonNode worker : workers) {
      String name = readName(worker);
      if (!workerNames.add(name)) {
        throw new IOException("worker " + name + " stands twice");
      }
      updates.add(readWorker(name, worker, names));
    }
    return new EndpointListLine(
        list.get(COMPLETE).asBoolean(), list.get(VERSION).asLong(), updates);
  }

  private static String readName(JsonNode worker) throws IOException {
    String name = worker.path(NAME).asText("");
    if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
      throw new IOException("a worker without a usable name");
    }
    return name;
  }

  private static EndpointUpdate readWorker(String name, JsonNode worker, EndpointNames names)
      throws IOException {
    int port = worker.path(PORT).asInt(-1);
    if (port < 1 || port > MAX_PORT) {
      throw invalid(name, "port " + port);
    }
    double capacity = worker.path(CAPACITY).asDouble(DEFAULT_CAPACITY);
    if (!(capacity >= 0 && capacity < MAX_CAPACITY)) {
      throw invalid(name, "size " + capacity);
    }
    WorkerState state = readState(name, worker);
    int zone = names.zones().applyAsInt(worker.path(ZONE).asText(""));
    if (zone < 0) {
      throw invalid(name, "unknown zone " + worker.path(ZONE));
    }
    String host = worker.path(HOST).asText(DEFAULT_HOST);
    int cell = worker.path(CELL).asInt(0);
    int kind = names.workerKinds().applyAsInt(worker.path(KIND).asText(""));
    Duration startedAt =
        worker.hasNonNull(STARTED_AT_MILLIS)
            ? names.sinceRouterStart(worker.get(STARTED_AT_MILLIS).asLong())
            : null;
    return new EndpointUpdate(name, host, port, state, zone, cell, kind, capacity, startedAt);
  }

  private static WorkerState readState(String name, JsonNode worker) throws IOException {
    try {
      return WorkerState.valueOf(worker.path(STATE).asText("").toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw invalid(name, "state " + worker.path(STATE) + " is not ready, draining or gone");
    }
  }

  private static IOException invalid(String name, String reason) {
    return new IOException("worker " + name + ": " + reason);
  }
}
