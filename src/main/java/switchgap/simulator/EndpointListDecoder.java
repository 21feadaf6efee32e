package switchgap.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.WorkerState;
import switchgap.policy.state.IndexAllocator;

/** Decodes the entries of an endpoint list and delivers them to a policy. */
final class EndpointListDecoder {
  static final int ENTRY_BYTES = 25;

  // Offsets of fields, in bytes from the start of an entry.
  private static final int STATE_OFFSET = 0;
  private static final int ZONE_OFFSET = 1;
  private static final int STARTED_AT_OFFSET = 3;
  private static final int CELL_OFFSET = 11;
  private static final int WORKER_ID_OFFSET = 13;
  private static final int KIND_OFFSET = 19;
  private static final int CAPACITY_OFFSET = 21;

  // Values of fields. All other states mean that the worker is draining.
  private static final int STATE_GONE = 0;
  private static final int STATE_READY = 1;

  /** Start time of a worker that started too long ago to be in slow start. */
  private static final long STARTED_LONG_AGO = 0;

  private final IndexAllocator workers;
  private final long routerStartMicros;

  /**
   * Creates a decoder that converts times of the simulator to times since the router's start.
   *
   * @param workers indices of the workers; a listed worker gets one if it has none
   * @param routerStartMicros simulated time of the router's start, in microseconds
   */
  EndpointListDecoder(IndexAllocator workers, long routerStartMicros) {
    this.workers = workers;
    this.routerStartMicros = routerStartMicros;
  }

  /**
   * Delivers an endpoint list.
   *
   * @param content the entries in their wire form
   * @param complete whether the list contains all workers, or only changes
   */
  void deliver(byte[] content, boolean complete, PolicyEvents events) {
    ByteBuffer buffer = ByteBuffer.wrap(content).order(ByteOrder.LITTLE_ENDIAN);
    events.endpointListStarted(complete);
    for (int offset = 0; offset < content.length; offset += ENTRY_BYTES) {
      events.endpointListed(entry(buffer, offset));
    }
    events.endpointListEnded();
  }

  private EndpointEntry entry(ByteBuffer buffer, int offset) {
    long workerId = WireValues.workerId(buffer, offset + WORKER_ID_OFFSET);
    long startedAt = buffer.getLong(offset + STARTED_AT_OFFSET);
    return new EndpointEntry(
        workers.allocate(workerId),
        workerId,
        state(buffer.get(offset + STATE_OFFSET)),
        WireValues.unsignedShort(buffer, offset + ZONE_OFFSET),
        WireValues.unsignedShort(buffer, offset + CELL_OFFSET),
        WireValues.unsignedShort(buffer, offset + KIND_OFFSET),
        buffer.getFloat(offset + CAPACITY_OFFSET),
        startedAt == STARTED_LONG_AGO ? null : WireValues.ofMicros(startedAt - routerStartMicros));
  }

  private static WorkerState state(byte code) {
    return switch (code) {
      case STATE_GONE -> WorkerState.GONE;
      case STATE_READY -> WorkerState.READY;
      default -> WorkerState.DRAINING;
    };
  }
}
