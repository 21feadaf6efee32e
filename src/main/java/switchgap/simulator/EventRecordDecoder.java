package switchgap.simulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;

/**
 * Collects the events of one router from a frame and delivers them to its policy, in the order of
 * the frame. Events about requests, workers or functions that the policy has released are ignored.
 */
final class EventRecordDecoder implements EventBatch {
  private static final int INITIAL_EVENTS = 16;

  private final IndexTables indices;
  private final LoadReportDecoder loadReports;
  private final EndpointListDecoder endpointLists;
  private final long routerStartMicros;

  /** Offsets of the collected events in the frame's body. */
  private int[] eventOffsets = new int[INITIAL_EVENTS];

  private int eventCount;

  /** Contents of the endpoint lists among the collected events, in the order of the events. */
  private final List<byte[]> listContents = new ArrayList<>();

  private ByteBuffer body;

  EventRecordDecoder(IndexTables indices, LoadReportDecoder loadReports, long routerStartMicros) {
    this.indices = indices;
    this.loadReports = loadReports;
    this.routerStartMicros = routerStartMicros;
    endpointLists = new EndpointListDecoder(indices.workers(), routerStartMicros);
  }

  /** Adds an event by its offset in the body that is passed to {@link #setBody} later. */
  void addEvent(int offset) {
    if (eventCount == eventOffsets.length) {
      eventOffsets = Arrays.copyOf(eventOffsets, eventCount * 2);
    }
    eventOffsets[eventCount] = offset;
    eventCount++;
  }

  /** Adds an event that delivers an endpoint list. */
  void addEndpointList(int offset, byte[] content) {
    addEvent(offset);
    listContents.add(content);
  }

  /** Sets the body that contains the events that were added. */
  void setBody(ByteBuffer frameBody) {
    body = frameBody;
  }

  /** Removes all collected events. */
  void clear() {
    eventCount = 0;
    listContents.clear();
  }

  @Override
  public void deliverTo(PolicyEvents events) {
    int listsDelivered = 0;
    for (int i = 0; i < eventCount; i++) {
      int offset = eventOffsets[i];
      EventType type = EventType.ofCode(WireValues.unsignedByte(body, offset + EventLayout.CODE));
      if (type == EventType.ENDPOINT_LIST && !isFailedList(offset)) {
        boolean complete = body.get(offset + EventLayout.LIST_KIND) != EventLayout.LIST_KIND_DELTA;
        endpointLists.deliver(listContents.get(listsDelivered), complete, events);
        listsDelivered++;
      } else {
        deliver(type, offset, events);
      }
    }
  }

  private boolean isFailedList(int offset) {
    return body.get(offset + EventLayout.LIST_KIND) == EventLayout.LIST_KIND_FAILED;
  }

  private void deliver(EventType type, int offset, PolicyEvents events) {
    switch (type) {
      case CLIENT_DISCONNECTED -> clientDisconnected(offset, events);
      case PROBE_ENDED -> probeEnded(offset, events);
      // A list with content is delivered by deliverTo().
      case ENDPOINT_LIST -> events.endpointListFailed();
      case RESPONSE_STARTED -> responseStarted(offset, events);
      case ATTEMPT_ENDED -> attemptEnded(offset, events);
      case WAKE_UP -> events.wakeUp(body.getLong(offset + EventLayout.WAKE_UP_TOKEN));
      case LOAD_COMMAND_ENDED -> loadCommandEnded(offset, events);
      case REQUEST_ARRIVED -> requestArrived(offset, events);
      default -> {
        // Messages of other routers are ignored, because routers share no state.
      }
    }
  }

  private void clientDisconnected(int offset, PolicyEvents events) {
    int request = indices.requests().find(body.getLong(offset + EventLayout.REQUEST_ID));
    if (request >= 0) {
      events.clientDisconnected(request);
    }
  }

  private void responseStarted(int offset, PolicyEvents events) {
    int request = indices.requests().find(body.getLong(offset + EventLayout.REQUEST_ID));
    if (request >= 0) {
      events.responseStarted(
          request, WireValues.unsignedShort(body, offset + EventLayout.RESPONSE_ATTEMPT));
    }
  }

  private void probeEnded(int offset, PolicyEvents events) {
    int worker = indices.workers().find(WireValues.workerId(body, offset + EventLayout.WORKER_ID));
    if (worker >= 0) {
      events.probeEnded(
          new ProbeResult(
              worker,
              outcome(offset + EventLayout.PROBE_OUTCOME),
              loadReports.ofProbe(body, offset + EventLayout.PROBE_REPORT)));
    }
  }

  private void loadCommandEnded(int offset, PolicyEvents events) {
    int worker = indices.workers().find(WireValues.workerId(body, offset + EventLayout.WORKER_ID));
    int function = indices.functions().find(body.getLong(offset + EventLayout.LOAD_FUNCTION_ID));
    if (worker >= 0 && function >= 0) {
      events.loadCommandEnded(
          new LoadCommandResult(
              worker,
              function,
              outcome(offset + EventLayout.LOAD_OUTCOME),
              WireValues.duration(body, offset + EventLayout.LOAD_DURATION),
              WireValues.unsignedByte(body, offset + EventLayout.LOAD_REPLICAS)));
    }
  }

  private void attemptEnded(int offset, PolicyEvents events) {
    int request = indices.requests().find(body.getLong(offset + EventLayout.REQUEST_ID));
    int worker =
        indices.workers().find(WireValues.workerId(body, offset + EventLayout.ATTEMPT_WORKER_ID));
    if (request < 0 || worker < 0) {
      return;
    }
    AttemptOutcome outcome = outcome(offset + EventLayout.ATTEMPT_OUTCOME);
    boolean isAnswered = outcome == AttemptOutcome.SUCCEEDED || outcome == AttemptOutcome.REJECTED;
    int concurrency =
        WireValues.unsignedByte(body, offset + EventLayout.ATTEMPT_CONCURRENCY)
            >> EventLayout.CONCURRENCY_SHIFT;
    events.attemptEnded(
        new AttemptResult(
            request,
            WireValues.unsignedShort(body, offset + EventLayout.ATTEMPT_NUMBER),
            worker,
            outcome,
            WireValues.duration(body, offset + EventLayout.ATTEMPT_DURATION),
            body.get(offset + EventLayout.ATTEMPT_REQUEST_CLOSED) != 0,
            loadReports.ofAttempt(
                body, offset + EventLayout.ATTEMPT_REPORT, concurrency, isAnswered)));
  }

  private void requestArrived(int offset, PolicyEvents events) {
    long functionId = body.getLong(offset + EventLayout.ARRIVAL_FUNCTION_ID);
    boolean hasHint =
        (body.getShort(offset + EventLayout.ARRIVAL_FLAGS) & EventLayout.FLAG_DURATION_HINT) != 0;
    events.requestArrived(
        new RequestArrival(
            indices.requests().allocate(body.getLong(offset + EventLayout.REQUEST_ID)),
            WireValues.unsignedByte(body, offset + EventLayout.ARRIVAL_CLASS),
            body.getInt(offset + EventLayout.ARRIVAL_TENANT),
            indices.functions().allocate(functionId),
            functionId,
            WireValues.ofMicros(
                body.getLong(offset + EventLayout.ARRIVAL_DEADLINE) - routerStartMicros),
            hasHint ? WireValues.duration(body, offset + EventLayout.ARRIVAL_DURATION_HINT) : null,
            body.getFloat(offset + EventLayout.ARRIVAL_MEMORY_MB),
            Math.max(1, Math.round(body.getFloat(offset + EventLayout.ARRIVAL_SLOTS)))));
  }

  private AttemptOutcome outcome(int offset) {
    return OutcomeCode.decode(body.get(offset));
  }
}
