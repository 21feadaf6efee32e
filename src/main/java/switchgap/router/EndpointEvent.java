package switchgap.router;

import switchgap.policy.api.AttemptOutcome;

/** Something that happened to a worker or to the endpoint list, rather than to a request. */
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

  /** A worker that had ended its connections, or refused one, accepted one. */
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

  /** What the endpoint list can become. */
  enum ListState {
    /** All events of the stream so far have been received. */
    CONFIRMED,
    /** The stream may have events that have not been received. */
    UNCONFIRMED
  }

  /** The endpoint list became confirmed or unconfirmed; the subject is the event stream. */
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
