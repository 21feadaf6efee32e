package switchgap.protocol.inference;

import java.util.Map;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.WorkerEntry;

/** The exchange of a load command, a query, an unload or a probe. */
final class CommandExchange extends InferenceExchange {
  /** Is notified once of how an exchange ended, or not at all where it was abandoned. */
  interface CommandResultListener {
    /** The exchange ended; the report is empty where there was none. On any thread. */
    void exchangeEnded(AttemptOutcome outcome, OrcaLoadReport report);
  }

  private final CommandResultListener listener;

  /** An exchange without a deadline of its own: the core abandons it. */
  CommandExchange(
      WorkerEntry worker,
      HttpConnectionPool pool,
      InferenceRequest request,
      CommandResultListener listener) {
    super(worker, pool, request, NO_DEADLINE);
    this.listener = listener;
  }

  @Override
  void notSent(AttemptOutcome outcome) {
    listener.exchangeEnded(outcome, OrcaLoadReport.EMPTY);
  }

  @Override
  void replied(int status, Map<String, String> headers, byte[] body) {
    listener.exchangeEnded(outcome(status), OrcaLoadReport.parse(headers));
  }

  @Override
  void lost() {
    listener.exchangeEnded(AttemptOutcome.CONNECTION_LOST, OrcaLoadReport.EMPTY);
  }

  private static AttemptOutcome outcome(int status) {
    if (HttpStatus.isSuccess(status)) {
      return AttemptOutcome.SUCCEEDED;
    }
    return HttpStatus.isOverloaded(status) ? AttemptOutcome.REJECTED : AttemptOutcome.FAILED;
  }
}
