package switchgap.router;

import java.time.Duration;
import java.util.Locale;
import switchgap.policy.api.AttemptOutcome;

/** An event of a request, an attempt or a connection, for the counters and the trace. */
public sealed interface RouterEvent
    permits EndpointEvent,
        RouterEvent.WithReason,
        RouterEvent.RequestReceived,
        RouterEvent.AttemptSent,
        RouterEvent.AttemptEnded,
        RouterEvent.ClientConnected,
        RouterEvent.ClientReadingPaused,
        RouterEvent.InvariantViolated {
  /** The kind of an event. */
  enum Kind {
    /** A request was read. */
    REQUEST_RECEIVED,
    /** A request received its final answer. */
    REQUEST_ANSWERED,
    /** A client cancelled its request or disconnected. */
    REQUEST_ABANDONED,
    /** An attempt was sent. */
    ATTEMPT_SENT,
    /** An attempt ended. */
    ATTEMPT_ENDED,
    /** A client's connection was opened. */
    CLIENT_CONNECTED,
    /** Reading from a client's connection was paused. */
    CLIENT_READING_PAUSED,
    /** A client's connection ended. */
    CLIENT_CLOSED,
    /** A connection to a worker ended. */
    WORKER_CLOSED,
    /** A load probe of a worker ended. */
    WORKER_PROBED,
    /** A worker accepted a connection after it had closed all its connections or refused one. */
    WORKER_RECONNECTED,
    /** The endpoint list became confirmed or unconfirmed. */
    ENDPOINT_LIST,
    /** An invariant was violated, which is a defect of this program. */
    INVARIANT_VIOLATED
  }

  /** The kind of this event. */
  Kind kind();

  /**
   * The reason: the name of an enum constant or a fixed text. Events of a kind are counted by
   * reason.
   */
  String reasonName();

  /** The id of the request, connection or worker that the event concerns. */
  String subjectId();

  /** Additional text of the trace line, or an empty string. Only called if tracing is enabled. */
  default String detail() {
    return "";
  }

  /** An event with one of several reasons. */
  sealed interface WithReason extends RouterEvent {
    /** The reason of this event. */
    EventReason reason();

    @Override
    default String reasonName() {
      return reason().name();
    }
  }

  /** A request was read from a client's connection. */
  record RequestReceived(String requestId, String connectionId) implements RouterEvent {
    private static final String SUBMITTED = "SUBMITTED";

    @Override
    public Kind kind() {
      return Kind.REQUEST_RECEIVED;
    }

    @Override
    public String reasonName() {
      return SUBMITTED;
    }

    @Override
    public String subjectId() {
      return requestId;
    }

    @Override
    public String detail() {
      return connectionId;
    }
  }

  /**
   * A request received its final answer.
   *
   * @param subjectId id of the request, or of its connection if the request's id is unknown
   * @param context the time of the answer, the deadline of a request that the core answered, or
   *     other data that identifies the request
   */
  record RequestAnswered(AnswerReason reason, String subjectId, Object context)
      implements WithReason {
    @Override
    public Kind kind() {
      return Kind.REQUEST_ANSWERED;
    }

    @Override
    public String detail() {
      return String.valueOf(context);
    }
  }

  /** A client cancelled its request or disconnected. */
  record RequestAbandoned(EventReason reason, String requestId) implements WithReason {
    @Override
    public Kind kind() {
      return Kind.REQUEST_ABANDONED;
    }

    @Override
    public String subjectId() {
      return requestId;
    }
  }

  /**
   * An attempt was sent.
   *
   * @param timeout the timeout that is sent to the worker
   */
  record AttemptSent(Attempt attempt, Duration timeout) implements RouterEvent {
    private enum Order {
      FIRST,
      SUBSEQUENT
    }

    @Override
    public Kind kind() {
      return Kind.ATTEMPT_SENT;
    }

    @Override
    public String reasonName() {
      Order order = attempt.number() == 0 ? Order.FIRST : Order.SUBSEQUENT;
      return order.name();
    }

    @Override
    public String subjectId() {
      return attempt.request().id();
    }

    @Override
    public String detail() {
      return String.format(
          Locale.ROOT, "%s attempt %d for %s", attempt.worker().name(), attempt.number(), timeout);
    }
  }

  /** An attempt ended. */
  record AttemptEnded(Attempt attempt, AttemptOutcome outcome) implements RouterEvent {
    @Override
    public Kind kind() {
      return Kind.ATTEMPT_ENDED;
    }

    @Override
    public String reasonName() {
      return outcome.name();
    }

    @Override
    public String subjectId() {
      return attempt.request().id();
    }

    @Override
    public String detail() {
      return attempt.worker().name();
    }
  }

  /** A client's connection was opened. */
  record ClientConnected(String connectionId) implements RouterEvent {
    private static final String ACCEPTED = "ACCEPTED";

    @Override
    public Kind kind() {
      return Kind.CLIENT_CONNECTED;
    }

    @Override
    public String reasonName() {
      return ACCEPTED;
    }

    @Override
    public String subjectId() {
      return connectionId;
    }
  }

  /** Reading was paused on a connection that exceeds its share of the heap for clients. */
  record ClientReadingPaused(String connectionId) implements RouterEvent {
    private static final String SHARE_EXCEEDED = "SHARE_EXCEEDED";

    @Override
    public Kind kind() {
      return Kind.CLIENT_READING_PAUSED;
    }

    @Override
    public String reasonName() {
      return SHARE_EXCEEDED;
    }

    @Override
    public String subjectId() {
      return connectionId;
    }
  }

  /**
   * A client's connection ended; {@code unanswered} is the number of requests that were read from
   * it and not answered.
   */
  record ClientClosed(EventReason reason, String connectionId, int unanswered)
      implements WithReason {
    @Override
    public Kind kind() {
      return Kind.CLIENT_CLOSED;
    }

    @Override
    public String subjectId() {
      return connectionId;
    }

    @Override
    public String detail() {
      return Integer.toString(unanswered);
    }
  }

  /** A connection to a worker ended; {@code description} has the details of the cause. */
  record WorkerClosed(EventReason reason, String connectionId, String description)
      implements WithReason {
    @Override
    public Kind kind() {
      return Kind.WORKER_CLOSED;
    }

    @Override
    public String subjectId() {
      return connectionId;
    }

    @Override
    public String detail() {
      return description;
    }
  }

  /** An invariant was violated at {@code time}, measured from the router's start. */
  record InvariantViolated(RouterInvariant invariant, String subjectId, Duration time)
      implements RouterEvent {
    @Override
    public Kind kind() {
      return Kind.INVARIANT_VIOLATED;
    }

    @Override
    public String reasonName() {
      return invariant.name();
    }

    @Override
    public String detail() {
      return time.toString();
    }
  }
}
