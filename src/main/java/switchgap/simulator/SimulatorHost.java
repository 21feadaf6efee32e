package switchgap.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads frames of events, delivers the events to simulated routers, and writes one reply with the
 * routers' actions for each frame. Not thread-safe.
 */
public final class SimulatorHost {
  /** Running routers by id. */
  private final Map<Integer, SimulatedRouter> routers = new TreeMap<>();

  /** Entries of the defined endpoint lists in their wire form, by the id of the list. */
  private final Map<Integer, byte[]> endpointLists = new TreeMap<>();

  private final ReplyFrame reply = new ReplyFrame();

  /**
   * Processes frames until the input ends.
   *
   * @throws MalformedFrameException at a frame that violates the protocol; no reply to it is
   *     written
   */
  public void serve(InputStream input, OutputStream out) throws IOException {
    EventFrame frame = EventFrame.read(input);
    while (frame != null) {
      reply.begin(frame.number());
      handle(frame);
      out.write(reply.finish());
      out.flush();
      frame = EventFrame.read(input);
    }
  }

  /**
   * Handles all records, then runs one tick of each router that started or received an event, in
   * the order of router ids.
   */
  private void handle(EventFrame frame) throws MalformedFrameException {
    Map<Integer, SimulatedRouter> routersToTick = new TreeMap<>();
    for (int i = 0; i < frame.recordCount(); i++) {
      handleRecord(frame, i, routersToTick);
    }
    for (SimulatedRouter router : routersToTick.values()) {
      router.tick(frame.body(), frame.clockMicros());
    }
  }

  private void handleRecord(
      EventFrame frame, int record, Map<Integer, SimulatedRouter> routersToTick)
      throws MalformedFrameException {
    int code = frame.codeOf(record);
    EventType type = EventType.ofCode(code);
    if (type == null) {
      throw new MalformedFrameException(
          "unknown event code "
              + code
              + " in record "
              + record
              + " at byte "
              + EventFrame.frameOffset(frame.offsetOf(record)));
    }
    switch (type) {
      case DEFINE_LIST -> defineList(frame, record);
      case START_ROUTER -> startRouter(frame, record, routersToTick);
      case STOP_ROUTER -> {
        int routerId = frame.routerIdOf(record);
        routers.remove(routerId);
        routersToTick.remove(routerId);
      }
      default -> addEventToRouter(frame, record, type, routersToTick);
    }
  }

  private void defineList(EventFrame frame, int record) throws MalformedFrameException {
    int listId = frame.body().getInt(frame.offsetOf(record) + EventLayout.LIST_DEFINITION_ID);
    endpointLists.put(
        listId,
        frame.tailPart(
            record, EventLayout.LIST_DEFINITION_CONTENT, EndpointListDecoder.ENTRY_BYTES));
  }

  private void startRouter(
      EventFrame frame, int record, Map<Integer, SimulatedRouter> routersToTick)
      throws MalformedFrameException {
    int routerId = frame.routerIdOf(record);
    byte[] settings = frame.tailPart(record, EventLayout.START_SETTINGS, Byte.BYTES);
    long seed = frame.body().getLong(frame.offsetOf(record) + EventLayout.START_SEED);
    SimulatedRouter router =
        new SimulatedRouter(
            routerId,
            frame.clockMicros(),
            seed,
            new String(settings, StandardCharsets.UTF_8),
            reply);
    routers.put(routerId, router);
    routersToTick.put(routerId, router);
  }

  private void addEventToRouter(
      EventFrame frame, int record, EventType type, Map<Integer, SimulatedRouter> routersToTick)
      throws MalformedFrameException {
    int routerId = frame.routerIdOf(record);
    SimulatedRouter router = routers.get(routerId);
    if (router == null) {
      throw new MalformedFrameException(
          "record " + record + " is for router " + routerId + ", which is not running");
    }
    int offset = frame.offsetOf(record);
    if (type == EventType.ENDPOINT_LIST
        && frame.body().get(offset + EventLayout.LIST_KIND) != EventLayout.LIST_KIND_FAILED) {
      router.addEndpointList(offset, endpointList(frame, record));
    } else {
      router.addEvent(offset);
    }
    routersToTick.put(routerId, router);
  }

  private byte[] endpointList(EventFrame frame, int record) throws MalformedFrameException {
    int listId = frame.body().getInt(frame.offsetOf(record) + EventLayout.LIST_ID);
    byte[] list = endpointLists.get(listId);
    if (list == null) {
      throw new MalformedFrameException(
          "record " + record + " refers to endpoint list " + listId + ", which is not defined");
    }
    return list;
  }
}
