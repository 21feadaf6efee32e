package switchgap.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads frames, distributes their events to the routers, and writes one reply a frame. One thread.
 */
public final class SimulatorHost {
  private final Map<Integer, SimulatedRouter> routers = new TreeMap<>();
  private final Map<Integer, byte[]> endpointLists = new TreeMap<>();
  private final ReplyFrame reply = new ReplyFrame();

  /**
   * Serves frames until the input ends.
   *
   * @throws MalformedFrameException at a frame that the protocol does not allow; nothing is written
   *     for it
   */
  public void serve(InputStream in, OutputStream out) throws IOException {
    EventFrame frame = EventFrame.read(in);
    while (frame != null) {
      reply.begin(frame.number());
      handle(frame);
      out.write(reply.finish());
      out.flush();
      frame = EventFrame.read(in);
    }
  }

  /**
   * Distributes all records, then runs a tick of each router that got one, in the order of their
   * ids.
   */
  private void handle(EventFrame frame) throws MalformedFrameException {
    Map<Integer, SimulatedRouter> due = new TreeMap<>();
    for (int i = 0; i < frame.recordCount(); i++) {
      handleRecord(frame, i, due);
    }
    for (SimulatedRouter router : due.values()) {
      router.tick(frame.body(), frame.clockMicros());
    }
  }

  private void handleRecord(EventFrame frame, int record, Map<Integer, SimulatedRouter> due)
      throws MalformedFrameException {
    int code = frame.codeOf(record);
    if (!EventCode.isKnown(code)) {
      throw new MalformedFrameException(
          "unknown event code "
              + code
              + " in record "
              + record
              + " at byte "
              + EventFrame.frameOffset(frame.offsetOf(record)));
    }
    switch (code) {
      case EventCode.DEFINE_LIST -> defineList(frame, record);
      case EventCode.START_ROUTER -> startRouter(frame, record, due);
      case EventCode.STOP_ROUTER -> {
        int routerId = frame.routerIdOf(record);
        routers.remove(routerId);
        due.remove(routerId);
      }
      default -> distribute(frame, record, code, due);
    }
  }

  private void defineList(EventFrame frame, int record) throws MalformedFrameException {
    int listId = frame.body().getInt(frame.offsetOf(record) + EventLayout.LIST_DEFINITION_ID);
    endpointLists.put(
        listId,
        frame.tailPart(
            record, EventLayout.LIST_DEFINITION_CONTENT, EndpointListDecoder.ENTRY_BYTES));
  }

  private void startRouter(EventFrame frame, int record, Map<Integer, SimulatedRouter> due)
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
    due.put(routerId, router);
  }

  private void distribute(EventFrame frame, int record, int code, Map<Integer, SimulatedRouter> due)
      throws MalformedFrameException {
    int routerId = frame.routerIdOf(record);
    SimulatedRouter router = routers.get(routerId);
    if (router == null) {
      throw new MalformedFrameException(
          "record " + record + " is for instance " + routerId + ", which is not alive");
    }
    int at = frame.offsetOf(record);
    if (code == EventCode.ENDPOINT_LIST
        && frame.body().get(at + EventLayout.LIST_KIND) != EventLayout.LIST_KIND_FAILED) {
      router.addEndpointList(at, endpointList(frame, record));
    } else {
      router.addEvent(at);
    }
    due.put(routerId, router);
  }

  private byte[] endpointList(EventFrame frame, int record) throws MalformedFrameException {
    int listId = frame.body().getInt(frame.offsetOf(record) + EventLayout.LIST_ID);
    byte[] list = endpointLists.get(listId);
    if (list == null) {
      throw new MalformedFrameException(
          "record " + record + " names list " + listId + ", never defined");
    }
    return list;
  }
}
