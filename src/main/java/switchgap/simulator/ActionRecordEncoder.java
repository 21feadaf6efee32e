package switchgap.simulator;

import java.time.Duration;
import switchgap.policy.api.PolicyActions;

/** Encodes the decisions of one router's policy as action records of the reply. */
final class ActionRecordEncoder implements PolicyActions {
  // Offsets of fields, in bytes from the start of a record.
  private static final int REQUEST_ID_OFFSET = 3;
  private static final int START_WORKER_ID_OFFSET = 11;
  private static final int START_TIMEOUT_OFFSET = 17;
  private static final int REJECT_RETRY_AFTER_OFFSET = 11;
  private static final int CANCEL_ATTEMPT_OFFSET = 11;
  private static final int WAKE_UP_DELAY_OFFSET = 3;
  private static final int WAKE_UP_TOKEN_OFFSET = 7;
  private static final int WORKER_ID_OFFSET = 3;
  private static final int FUNCTION_ID_OFFSET = 9;
  private static final int LOAD_REPLICAS_OFFSET = 17;
  private static final int SUBSCRIBE_FLAG_OFFSET = 3;
  private static final int FAULT_TEXT_OFFSET = 3;

  // Values of fields.
  private static final int NO_RETRY_AFTER = 0;
  private static final byte SUBSCRIBE = 1;
  private static final byte ONE_REPLICA = 1;
  private static final byte NO_REPLICA = 0;

  private final int routerId;
  private final IndexTables indices;
  private final ReplyFrame reply;

  ActionRecordEncoder(int routerId, IndexTables indices, ReplyFrame reply) {
    this.routerId = routerId;
    this.indices = indices;
    this.reply = reply;
  }

  /** Adds a record that the policy failed with an exception and makes no further decisions. */
  void policyFailed(RuntimeException failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    int offset = reply.addRecord(ActionType.POLICY_FAULT, routerId);
    reply.putText(
        offset + FAULT_TEXT_OFFSET, failure + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  @Override
  public void startAttempt(int request, int worker, Duration timeout) {
    int offset = addRequestRecord(ActionType.START_ATTEMPT, request);
    reply.buffer().putInt(offset + START_TIMEOUT_OFFSET, (int) WireValues.toMicros(timeout));
    putWorkerId(offset + START_WORKER_ID_OFFSET, worker);
  }

  @Override
  public void reject(int request, Duration retryAfter) {
    int offset = addRequestRecord(ActionType.REJECT, request);
    reply
        .buffer()
        .putInt(
            offset + REJECT_RETRY_AFTER_OFFSET,
            retryAfter == null ? NO_RETRY_AFTER : (int) WireValues.toMicros(retryAfter));
  }

  @Override
  public void fail(int request) {
    addRequestRecord(ActionType.FAIL, request);
  }

  @Override
  public void cancelAttempt(int request, int attempt) {
    int offset = addRequestRecord(ActionType.CANCEL_ATTEMPT, request);
    reply.buffer().putShort(offset + CANCEL_ATTEMPT_OFFSET, (short) attempt);
  }

  @Override
  public void scheduleWakeUp(Duration delay, long token) {
    int offset = reply.addRecord(ActionType.SCHEDULE_WAKE_UP, routerId);
    reply.buffer().putInt(offset + WAKE_UP_DELAY_OFFSET, (int) WireValues.toMicros(delay));
    reply.buffer().putLong(offset + WAKE_UP_TOKEN_OFFSET, token);
  }

  @Override
  public void probe(int worker) {
    addWorkerRecord(ActionType.PROBE, worker);
  }

  @Override
  public void subscribeToEndpoints() {
    int offset = reply.addRecord(ActionType.SUBSCRIBE_TO_ENDPOINTS, routerId);
    reply.buffer().put(offset + SUBSCRIBE_FLAG_OFFSET, SUBSCRIBE);
  }

  @Override
  public void load(int worker, int function) {
    int offset = addReplicaRecord(ActionType.LOAD, worker, function);
    reply.buffer().put(offset + LOAD_REPLICAS_OFFSET, ONE_REPLICA);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    int offset = addReplicaRecord(ActionType.LOAD, worker, function);
    reply.buffer().put(offset + LOAD_REPLICAS_OFFSET, NO_REPLICA);
  }

  @Override
  public void unload(int worker, int function) {
    addReplicaRecord(ActionType.UNLOAD, worker, function);
  }

  @Override
  public void releaseRequest(int request) {
    indices.requests().release(request);
  }

  @Override
  public void releaseFunction(int function) {
    indices.functions().release(function);
  }

  @Override
  public void releaseWorker(int worker) {
    indices.workers().release(worker);
  }

  private int addRequestRecord(ActionType type, int request) {
    int offset = reply.addRecord(type, routerId);
    reply.buffer().putLong(offset + REQUEST_ID_OFFSET, indices.requests().idOf(request));
    return offset;
  }

  private int addWorkerRecord(ActionType type, int worker) {
    int offset = reply.addRecord(type, routerId);
    putWorkerId(offset + WORKER_ID_OFFSET, worker);
    return offset;
  }

  private int addReplicaRecord(ActionType type, int worker, int function) {
    int offset = addWorkerRecord(type, worker);
    reply.buffer().putLong(offset + FUNCTION_ID_OFFSET, indices.functions().idOf(function));
    return offset;
  }

  private void putWorkerId(int offset, int worker) {
    WireValues.putWorkerId(reply.buffer(), offset, indices.workers().idOf(worker));
  }
}
