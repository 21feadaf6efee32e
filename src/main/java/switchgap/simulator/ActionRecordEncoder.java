package switchgap.simulator;

import java.time.Duration;
import switchgap.policy.api.PolicyActions;

/** Encodes one router's decisions as records of the reply. */
final class ActionRecordEncoder implements PolicyActions {
  // Offsets in bytes from a record's start.
  private static final int REQUEST_ID = 3;
  private static final int START_WORKER_ID = 11;
  private static final int START_TIMEOUT = 17;
  private static final int REJECT_RETRY_AFTER = 11;
  private static final int CANCEL_ATTEMPT = 11;
  private static final int WAKE_UP_DELAY = 3;
  private static final int WAKE_UP_TOKEN = 7;
  private static final int WORKER_ID = 3;
  private static final int FUNCTION_ID = 9;
  private static final int LOAD_REPLICAS = 17;
  private static final int SUBSCRIBE_FLAG = 3;
  private static final int FAULT_TEXT = 3;

  private static final int NO_RETRY_AFTER = 0;
  private static final byte SUBSCRIBE = 1;
  private static final byte LOAD_ONE = 1;
  private static final byte QUERY_ONLY = 0;

  private final int routerId;
  private final IndexTables indices;
  private final ReplyFrame reply;

  ActionRecordEncoder(int routerId, IndexTables indices, ReplyFrame reply) {
    this.routerId = routerId;
    this.indices = indices;
    this.reply = reply;
  }

  /** Reports that the policy failed; it decides nothing any more. */
  void policyFailed(RuntimeException fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    int at = reply.addRecord(ActionCode.POLICY_FAULT, routerId);
    reply.putText(at + FAULT_TEXT, fault + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  @Override
  public void startAttempt(int request, int worker, Duration timeout) {
    int at = addRequestRecord(ActionCode.START_ATTEMPT, request);
    reply.buffer().putInt(at + START_TIMEOUT, (int) WireValues.toMicros(timeout));
    putWorkerId(at + START_WORKER_ID, worker);
  }

  @Override
  public void reject(int request, Duration retryAfter) {
    int at = addRequestRecord(ActionCode.REJECT, request);
    reply
        .buffer()
        .putInt(
            at + REJECT_RETRY_AFTER,
            retryAfter == null ? NO_RETRY_AFTER : (int) WireValues.toMicros(retryAfter));
  }

  @Override
  public void fail(int request) {
    addRequestRecord(ActionCode.FAIL, request);
  }

  @Override
  public void cancelAttempt(int request, int attempt) {
    int at = addRequestRecord(ActionCode.CANCEL_ATTEMPT, request);
    reply.buffer().putShort(at + CANCEL_ATTEMPT, (short) attempt);
  }

  @Override
  public void scheduleWakeUp(Duration delay, long token) {
    int at = reply.addRecord(ActionCode.SCHEDULE_WAKE_UP, routerId);
    reply.buffer().putInt(at + WAKE_UP_DELAY, (int) WireValues.toMicros(delay));
    reply.buffer().putLong(at + WAKE_UP_TOKEN, token);
  }

  @Override
  public void probe(int worker) {
    addWorkerRecord(ActionCode.PROBE, worker);
  }

  @Override
  public void subscribeToEndpoints() {
    int at = reply.addRecord(ActionCode.SUBSCRIBE_TO_ENDPOINTS, routerId);
    reply.buffer().put(at + SUBSCRIBE_FLAG, SUBSCRIBE);
  }

  @Override
  public void load(int worker, int function) {
    int at = addReplicaRecord(ActionCode.LOAD, worker, function);
    reply.buffer().put(at + LOAD_REPLICAS, LOAD_ONE);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    int at = addReplicaRecord(ActionCode.LOAD, worker, function);
    reply.buffer().put(at + LOAD_REPLICAS, QUERY_ONLY);
  }

  @Override
  public void unload(int worker, int function) {
    addReplicaRecord(ActionCode.UNLOAD, worker, function);
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

  private int addRequestRecord(int code, int request) {
    int at = reply.addRecord(code, routerId);
    reply.buffer().putLong(at + REQUEST_ID, indices.requests().idOf(request));
    return at;
  }

  private int addWorkerRecord(int code, int worker) {
    int at = reply.addRecord(code, routerId);
    putWorkerId(at + WORKER_ID, worker);
    return at;
  }

  private int addReplicaRecord(int code, int worker, int function) {
    int at = addWorkerRecord(code, worker);
    reply.buffer().putLong(at + FUNCTION_ID, indices.functions().idOf(function));
    return at;
  }

  private void putWorkerId(int at, int worker) {
    WireValues.putWorkerId(reply.buffer(), at, indices.workers().idOf(worker));
  }
}
