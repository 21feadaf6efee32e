package switchgap.router;

import switchgap.policy.api.AttemptOutcome;

/** An event of a worker or of the endpoint list, not of a request. */
public sealed interface EndpointEvent extends RouterEvent {
  /** A load probe of a worker ended. */
  record WorkerProbed(String subjectId, AttemptOutcome outcome) implements EndpointEvent {
    @Override
    public Kind kind() {
      return Kind.WORKER_PROBED;
    }

    @Override
    public String reasonName() {
      return outcome.name();
    }
  }

  /** A worker accepted a connection after it had closed all its connections or refused one. */
  record WorkerReconnected(String subjectId) implements EndpointEvent {
    private static final String ACCEPTED = "ACCEPTED";

    @Override
    public Kind kind() {
      return Kind.WORKER_RECONNECTED;
    }

    @Override
    public String reasonName() {
      return ACCEPTED;
    }
  }

  /** State of the endpoint list. */
  enum ListState {
    /** All events of the stream so far have been received. */
    CONFIRMED,
    /** Events of the stream may be missing. */
    UNCONFIRMED
  }

  /** The state of the endpoint list changed; the subject is the event stream. */
  record ListChanged(ListState state) implements EndpointEvent {
    private static final String SUBJECT = "stream";

    @Override
    public Kind kind() {
      return Kind.ENDPOINT_LIST;
    }

    @Override
    public String reasonName() {
      return state.name();
    }

    @Override
    public String subjectId() {
      return SUBJECT;
    }
  }
}
