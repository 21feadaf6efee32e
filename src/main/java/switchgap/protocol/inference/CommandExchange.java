package switchgap.protocol.inference;

import java.util.Map;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.WorkerEntry;

/** The exchange of a load command, a query for loaded replicas, an unload command or a probe. */
final class CommandExchange extends InferenceExchange {
  /** Receives the result of an exchange once, or never if the exchange was abandoned. */
  interface CommandResultListener {
    /** Called on any thread; the report is empty if the worker sent none. */
    void exchangeEnded(AttemptOutcome outcome, OrcaLoadReport report);
  }

  private final CommandResultListener listener;

  /** Creates an exchange without a deadline; the core abandons it when it times out. */
  CommandExchange(
      WorkerEntry worker,
      HttpConnectionPool pool,
      InferenceRequest request,
      CommandResultListener listener) {
    super(worker, pool, request, NO_DEADLINE);
    this.listener = listener;
  }

  @Override
  void onNotSent(AttemptOutcome outcome) {
    listener.exchangeEnded(outcome, OrcaLoadReport.EMPTY);
  }

  @Override
  void onReply(int status, Map<String, String> headers, byte[] body) {
    listener.exchangeEnded(outcome(status), OrcaLoadReport.parse(headers));
  }

  @Override
  void onConnectionLost() {
    listener.exchangeEnded(AttemptOutcome.CONNECTION_LOST, OrcaLoadReport.EMPTY);
  }

  private static AttemptOutcome outcome(int status) {
    if (HttpStatus.isSuccess(status)) {
      return AttemptOutcome.SUCCEEDED;
    }
    return HttpStatus.isOverloaded(status) ? AttemptOutcome.REJECTED : AttemptOutcome.FAILED;
  }
}
