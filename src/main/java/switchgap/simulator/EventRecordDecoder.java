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
 * Gathers one router's events of a frame and tells them to its policy in order. Events of requests,
 * workers or functions that the policy has released are passed over.
 */
final class EventRecordDecoder implements EventBatch {
  private static final int INITIAL_EVENTS = 16;

  private final IndexTables indices;
  private final LoadReportDecoder loadReports;
  private final EndpointListDecoder endpointLists;
  private final long routerStartMicros;

  /** Offsets of the events in the frame's body. */
  private int[] offsets = new int[INITIAL_EVENTS];

  private int eventCount;

  /** Contents of the endpoint lists among the events, in their order. */
  private final List<byte[]> listContents = new ArrayList<>();

  private ByteBuffer body;

  EventRecordDecoder(IndexTables indices, LoadReportDecoder loadReports, long routerStartMicros) {
    this.indices = indices;
    this.loadReports = loadReports;
    this.routerStartMicros = routerStartMicros;
    endpointLists = new EndpointListDecoder(indices.workers(), routerStartMicros);
  }

  /** Adds the event at an offset of the body that {@link #begin} will be given. */
  void add(int offset) {
    if (eventCount == offsets.length) {
      offsets = Arrays.copyOf(offsets, eventCount * 2);
    }
    offsets[eventCount] = offset;
    eventCount++;
  }

  /** Adds an endpoint list that came, with its content. */
  void addEndpointList(int offset, byte[] content) {
    add(offset);
    listContents.add(content);
  }

  /** The events that were added are of this body. */
  void begin(ByteBuffer frameBody) {
    body = frameBody;
  }

  /** Forgets the events. */
  void clear() {
    eventCount = 0;
    listContents.clear();
  }

  @Override
  public void deliverTo(PolicyEvents events) {
    int listsDelivered = 0;
    for (int i = 0; i < eventCount; i++) {
      int at = offsets[i];
      int code = WireValues.unsignedByte(body, at + EventLayout.CODE);
      if (code == EventCode.ENDPOINT_LIST && !isFailedList(at)) {
        boolean complete = body.get(at + EventLayout.LIST_KIND) != EventLayout.LIST_KIND_DELTA;
        endpointLists.deliver(listContents.get(listsDelivered), complete, events);
        listsDelivered++;
      } else {
        deliver(code, at, events);
      }
    }
  }

  private boolean isFailedList(int at) {
    return body.get(at + EventLayout.LIST_KIND) == EventLayout.LIST_KIND_FAILED;
  }

  private void deliver(int code, int at, PolicyEvents events) {
    switch (code) {
      case EventCode.CLIENT_LEFT -> clientLeft(at, events);
      case EventCode.PROBE_ENDED -> probeEnded(at, events);
      case EventCode.ENDPOINT_LIST -> events.endpointListFailed();
      case EventCode.RESPONSE_STARTED -> responseStarted(at, events);
      case EventCode.ATTEMPT_ENDED -> attemptEnded(at, events);
      case EventCode.WAKE_UP -> events.wakeUp(body.getLong(at + EventLayout.WAKE_UP_TOKEN));
      case EventCode.LOAD_COMMAND_ENDED -> loadCommandEnded(at, events);
      case EventCode.REQUEST_ARRIVED -> requestArrived(at, events);
      default -> {} // a peer's message: routers share nothing
    }
  }

  private void clientLeft(int at, PolicyEvents events) {
    int request = indices.requests().find(body.getLong(at + EventLayout.REQUEST_ID));
    if (request >= 0) {
      events.clientLeft(request);
    }
  }

  private void responseStarted(int at, PolicyEvents events) {
    int request = indices.requests().find(body.getLong(at + EventLayout.REQUEST_ID));
    if (request >= 0) {
      events.responseStarted(
          request, WireValues.unsignedShort(body, at + EventLayout.RESPONSE_ATTEMPT));
    }
  }

  private void probeEnded(int at, PolicyEvents events) {
    int worker = indices.workers().find(WireValues.workerId(body, at + EventLayout.WORKER_ID));
    if (worker >= 0) {
      events.probeEnded(
          new ProbeResult(
              worker,
              outcome(at + EventLayout.PROBE_OUTCOME),
              loadReports.ofProbe(body, at + EventLayout.PROBE_REPORT)));
    }
  }

  private void loadCommandEnded(int at, PolicyEvents events) {
    int worker = indices.workers().find(WireValues.workerId(body, at + EventLayout.WORKER_ID));
    int function = indices.functions().find(body.getLong(at + EventLayout.LOAD_FUNCTION_ID));
    if (worker >= 0 && function >= 0) {
      events.loadCommandEnded(
          new LoadCommandResult(
              worker,
              function,
              outcome(at + EventLayout.LOAD_OUTCOME),
              WireValues.duration(body, at + EventLayout.LOAD_DURATION),
              WireValues.unsignedByte(body, at + EventLayout.LOAD_REPLICAS)));
    }
  }

  private void attemptEnded(int at, PolicyEvents events) {
    int request = indices.requests().find(body.getLong(at + EventLayout.REQUEST_ID));
    int worker =
        indices.workers().find(WireValues.workerId(body, at + EventLayout.ATTEMPT_WORKER_ID));
    if (request < 0 || worker < 0) {
      return;
    }
    AttemptOutcome outcome = outcome(at + EventLayout.ATTEMPT_OUTCOME);
    boolean isAnswered = outcome == AttemptOutcome.SUCCEEDED || outcome == AttemptOutcome.REJECTED;
    int concurrency =
        WireValues.unsignedByte(body, at + EventLayout.ATTEMPT_CONCURRENCY)
            >> EventLayout.CONCURRENCY_SHIFT;
    events.attemptEnded(
        new AttemptResult(
            request,
            WireValues.unsignedShort(body, at + EventLayout.ATTEMPT_NUMBER),
            worker,
            outcome,
            WireValues.duration(body, at + EventLayout.ATTEMPT_DURATION),
            body.get(at + EventLayout.ATTEMPT_REQUEST_CLOSED) != 0,
            loadReports.ofAttempt(body, at + EventLayout.ATTEMPT_REPORT, concurrency, isAnswered)));
  }

  private void requestArrived(int at, PolicyEvents events) {
    long functionId = body.getLong(at + EventLayout.ARRIVAL_FUNCTION_ID);
    boolean hasHint =
        (body.getShort(at + EventLayout.ARRIVAL_FLAGS) & EventLayout.FLAG_DURATION_HINT) != 0;
    events.requestArrived(
        new RequestArrival(
            indices.requests().allocate(body.getLong(at + EventLayout.REQUEST_ID)),
            WireValues.unsignedByte(body, at + EventLayout.ARRIVAL_CLASS),
            body.getInt(at + EventLayout.ARRIVAL_TENANT),
            indices.functions().allocate(functionId),
            functionId,
            WireValues.ofMicros(
                body.getLong(at + EventLayout.ARRIVAL_DEADLINE) - routerStartMicros),
            hasHint ? WireValues.duration(body, at + EventLayout.ARRIVAL_DURATION_HINT) : null,
            body.getFloat(at + EventLayout.ARRIVAL_MEMORY_MB),
            Math.max(1, Math.round(body.getFloat(at + EventLayout.ARRIVAL_SLOTS)))));
  }

  private AttemptOutcome outcome(int at) {
    return OutcomeCode.decode(body.get(at));
  }
}
