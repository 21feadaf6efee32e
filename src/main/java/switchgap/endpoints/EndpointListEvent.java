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
 * One numbered event of the platform's control feed: a complete endpoint list or the changes of
 * one. Its parser shares no code with {@link EndpointListLine}, since the platform has keys, words
 * and bounds of its own, and since a router there must not load Jackson's object mapper.
 *
 * @param sequence number of the event in the feed
 * @param complete whether the updates are the complete list rather than its changes
 * @param updates the entries in the order of the event; null for an event of another kind
 */
public record EndpointListEvent(long sequence, boolean complete, List<EndpointUpdate> updates) {
  private static final int MAX_WORKERS = 4096;
  private static final int MAX_PORT = 0xffff;

  private static final String SEQUENCE = "n";
  private static final String MEMBERS = "members";
  private static final String COMPLETE = "all";
  private static final String TARGETS = "targets";
  private static final String TARGETS_PATH = MEMBERS + "." + TARGETS;

  private static final String NAME = "uid";
  private static final String STATE = "state";
  private static final String ENDPOINT = "endpoint";
  private static final String ZONE = "az";
  private static final String CELL = "pod_group";
  private static final String KIND = "model";
  private static final String CAPACITY = "capacity_hint";
  private static final String STARTED_AT_MILLIS = "boot_ms";

  /** Whether it is about the endpoint list, rather than an event of another kind. */
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
      throw new InvalidEndpointListException("event: " + e.getMessage(), e);
    }
  }

  /**
   * Converts an event that is decoded to maps and lists already.
   *
   * @throws InvalidEndpointListException if it can't be used; the message names the key
   * @throws IllegalArgumentException if a worker's endpoint is no address at all
   */
  public static EndpointListEvent fromJson(Map<?, ?> event, EndpointNames names)
      throws InvalidEndpointListException {
    long sequence = (long) number(event, SEQUENCE);
    if (!(event.get(MEMBERS) instanceof Map<?, ?> members)) {
      return new EndpointListEvent(sequence, false, null);
    }
    if (!(members.get(TARGETS) instanceof List<?> targets) || targets.size() > MAX_WORKERS) {
      throw new InvalidEndpointListException(TARGETS_PATH + ": no list, or too long");
    }
    List<EndpointUpdate> updates = new ArrayList<>(targets.size());
    for (Object target : targets) {
      if (!(target instanceof Map<?, ?> worker)) {
        throw new InvalidEndpointListException(TARGETS_PATH + ": no object");
      }
      updates.add(readWorker(worker, names));
    }
    return new EndpointListEvent(sequence, Boolean.TRUE.equals(members.get(COMPLETE)), updates);
  }

  private static EndpointUpdate readWorker(Map<?, ?> worker, EndpointNames names)
      throws InvalidEndpointListException {
    WorkerState state = readState(worker);
    String name = text(worker, NAME);
    boolean addressNeeded = state != WorkerState.GONE || worker.get(ENDPOINT) != null;
    URI address = addressNeeded ? readAddress(worker) : null;
    String host = address == null ? "" : address.getHost();
    int port = address == null ? 0 : address.getPort();
    Duration startedAt = readStart(worker, names);
    int zone = names.zones().applyAsInt(String.valueOf(worker.get(ZONE)));
    int cell = (int) optionalNumber(worker, CELL);
    int kind = names.workerKinds().applyAsInt(String.valueOf(worker.get(KIND)));
    double capacity = optionalNumber(worker, CAPACITY);
    return new EndpointUpdate(name, host, port, state, zone, cell, kind, capacity, startedAt);
  }

  private static WorkerState readState(Map<?, ?> worker) throws InvalidEndpointListException {
    return switch (text(worker, STATE)) {
      case "SERVING" -> WorkerState.READY;
      case "DRAINING" -> WorkerState.DRAINING;
      case "DELETED" -> WorkerState.GONE;
      default ->
          throw new InvalidEndpointListException(STATE + ": unknown word " + worker.get(STATE));
    };
  }

  private static URI readAddress(Map<?, ?> worker) throws InvalidEndpointListException {
    URI address = URI.create("tcp://" + text(worker, ENDPOINT).replace(' ', '_'));
    if (address.getHost() == null || address.getPort() <= 0 || address.getPort() > MAX_PORT) {
      throw new InvalidEndpointListException(ENDPOINT + ": " + worker.get(ENDPOINT));
    }
    return address;
  }

  /** The worker's start since the router's; null where it is absent or zero. */
  private static Duration readStart(Map<?, ?> worker, EndpointNames names)
      throws InvalidEndpointListException {
    double startedAtMillis = optionalNumber(worker, STARTED_AT_MILLIS);
    if (startedAtMillis == 0) {
      return null;
    }
    return names.sinceRouterStart((long) startedAtMillis);
  }

  private static String text(Map<?, ?> object, String key) throws InvalidEndpointListException {
    if (object.get(key) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidEndpointListException(key + ": no text");
  }

  private static double number(Map<?, ?> object, String key) throws InvalidEndpointListException {
    if (object.get(key) instanceof Number number && Double.isFinite(number.doubleValue())) {
      return number.doubleValue();
    }
    throw new InvalidEndpointListException(key + ": no number");
  }

  private static double optionalNumber(Map<?, ?> object, String key)
      throws InvalidEndpointListException {
    return object.get(key) == null ? 0 : number(object, key);
  }
}
