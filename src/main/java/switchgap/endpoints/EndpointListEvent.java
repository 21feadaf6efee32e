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

/**
 * A numbered event of the platform's event stream: a complete endpoint list, changes to the list,
 * or an event of another kind. Its parser shares no code with {@link EndpointListLine}, because the
 * platform uses different keys, state names and limits, and because routers on the platform must
 * not load Jackson's object mapper.
 *
 * @param sequence sequence number of the event in the stream
 * @param complete whether the updates are the complete list rather than changes to it
 * @param updates the entries in the order of the event, or null for an event of another kind
 */
public record EndpointListEvent(long sequence, boolean complete, List<EndpointUpdate> updates) {
  private static final int MAX_WORKERS = 4096;
  private static final int MAX_PORT = 0xffff;

  private static final String SEQUENCE_KEY = "n";
  private static final String MEMBERS_KEY = "members";
  private static final String COMPLETE_KEY = "all";
  private static final String TARGETS_KEY = "targets";
  private static final String TARGETS_PATH = MEMBERS_KEY + "." + TARGETS_KEY;

  private static final String NAME_KEY = "uid";
  private static final String STATE_KEY = "state";
  private static final String ENDPOINT_KEY = "endpoint";
  private static final String ZONE_KEY = "az";
  private static final String CELL_KEY = "pod_group";
  private static final String KIND_KEY = "model";
  private static final String CAPACITY_KEY = "capacity_hint";
  private static final String STARTED_AT_MILLIS_KEY = "boot_ms";

  /** Whether the event contains a complete endpoint list or changes to it. */
  boolean isEndpointList() {
    return updates != null;
  }

  /**
   * Parses the text of an event.
   *
   * @throws InvalidEndpointListException if it can't be used; the message names the key
   */
  static EndpointListEvent parse(String text, EndpointNames names)
      throws InvalidEndpointListException {
    try {
      return fromJson(JsonDocument.parseObject(text), names);
    } catch (IOException e) {
      throw new InvalidEndpointListException("cannot parse event: " + e.getMessage(), e);
    }
  }

  /**
   * Converts an event that has already been decoded into maps and lists.
   *
   * @throws InvalidEndpointListException if it can't be used; the message names the key
   * @throws IllegalArgumentException if a worker's endpoint can't be parsed as an address
   */
  public static EndpointListEvent fromJson(Map<?, ?> event, EndpointNames names)
      throws InvalidEndpointListException {
    long sequence = (long) readNumber(event, SEQUENCE_KEY);
    if (!(event.get(MEMBERS_KEY) instanceof Map<?, ?> members)) {
      return new EndpointListEvent(sequence, false, null);
    }
    if (!(members.get(TARGETS_KEY) instanceof List<?> targets) || targets.size() > MAX_WORKERS) {
      throw new InvalidEndpointListException(
          TARGETS_PATH + ": must be a list of at most " + MAX_WORKERS + " workers");
    }
    List<EndpointUpdate> updates = new ArrayList<>(targets.size());
    for (Object target : targets) {
      if (!(target instanceof Map<?, ?> worker)) {
        throw new InvalidEndpointListException(TARGETS_PATH + ": entry is not an object");
      }
      updates.add(readWorker(worker, names));
    }
    return new EndpointListEvent(sequence, Boolean.TRUE.equals(members.get(COMPLETE_KEY)), updates);
  }

  private static EndpointUpdate readWorker(Map<?, ?> worker, EndpointNames names)
      throws InvalidEndpointListException {
    WorkerState state = readState(worker);
    String name = readText(worker, NAME_KEY);
    boolean requiresAddress = state != WorkerState.GONE || worker.get(ENDPOINT_KEY) != null;
    URI address = requiresAddress ? readAddress(worker) : null;
    String host = address == null ? "" : address.getHost();
    int port = address == null ? 0 : address.getPort();
    Duration startedAt = readStart(worker, names);
    int zone = names.zones().applyAsInt(String.valueOf(worker.get(ZONE_KEY)));
    int cell = (int) readOptionalNumber(worker, CELL_KEY);
    int kind = names.workerKinds().applyAsInt(String.valueOf(worker.get(KIND_KEY)));
    double capacity = readOptionalNumber(worker, CAPACITY_KEY);
    return new EndpointUpdate(name, host, port, state, zone, cell, kind, capacity, startedAt);
  }

  private static WorkerState readState(Map<?, ?> worker) throws InvalidEndpointListException {
    return switch (readText(worker, STATE_KEY)) {
      case "SERVING" -> WorkerState.READY;
      case "DRAINING" -> WorkerState.DRAINING;
      case "DELETED" -> WorkerState.GONE;
      default ->
          throw new InvalidEndpointListException(
              STATE_KEY + ": must be SERVING, DRAINING or DELETED, not " + worker.get(STATE_KEY));
    };
  }

  private static URI readAddress(Map<?, ?> worker) throws InvalidEndpointListException {
    URI address = URI.create("tcp://" + readText(worker, ENDPOINT_KEY).replace(' ', '_'));
    if (address.getHost() == null || address.getPort() <= 0 || address.getPort() > MAX_PORT) {
      throw new InvalidEndpointListException(
          ENDPOINT_KEY + ": invalid address " + worker.get(ENDPOINT_KEY));
    }
    return address;
  }

  /**
   * Returns the time from the router's start to the worker's start, or null if the worker's start
   * is absent or 0.
   */
  private static Duration readStart(Map<?, ?> worker, EndpointNames names)
      throws InvalidEndpointListException {
    double startedAtMillis = readOptionalNumber(worker, STARTED_AT_MILLIS_KEY);
    if (startedAtMillis == 0) {
      return null;
    }
    return names.sinceRouterStart((long) startedAtMillis);
  }

  private static String readText(Map<?, ?> object, String key) throws InvalidEndpointListException {
    if (object.get(key) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidEndpointListException(key + ": must be a non-empty string");
  }

  private static double readNumber(Map<?, ?> object, String key)
      throws InvalidEndpointListException {
    if (object.get(key) instanceof Number number && Double.isFinite(number.doubleValue())) {
      return number.doubleValue();
    }
    throw new InvalidEndpointListException(key + ": must be a number");
  }

  private static double readOptionalNumber(Map<?, ?> object, String key)
      throws InvalidEndpointListException {
    return object.get(key) == null ? 0 : readNumber(object, key);
  }
}
