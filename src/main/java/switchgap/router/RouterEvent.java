package switchgap.router;

import java.time.Duration;
import java.util.Locale;
import switchgap.policy.api.AttemptOutcome;

/** Something that happened to a request, an attempt or a connection, for counters and the trace. */
public sealed interface RouterEvent
    permits EndpointEvent,
        RouterEvent.WithReason,
        RouterEvent.RequestReceived,
        RouterEvent.AttemptSent,
        RouterEvent.AttemptEnded,
        RouterEvent.ClientConnected,
        RouterEvent.InvariantViolated {
  /** What happened. */
  enum Kind {
    /** A request was read. */
    REQUEST_RECEIVED,
    /** A request has its final answer. */
    REQUEST_ANSWERED,
    /** A request's client cancelled it or disconnected. */
    REQUEST_ABANDONED,
    /** An attempt is sent. */
    ATTEMPT_SENT,
    /** An attempt ended. */
    ATTEMPT_ENDED,
    /** A client's connection was opened. */
    CLIENT_CONNECTED,
    /** A client's connection ended. */
    CLIENT_CLOSED,
    /** A connection to a worker ended. */
    WORKER_CLOSED,
    /** A load probe of a worker ended. */
    WORKER_PROBED,
    /** A worker that had ended its connections, or refused one, accepted one. */
    WORKER_RECONNECTED,
    /** The endpoint list became confirmed or unconfirmed. */
    ENDPOINT_LIST,
    /** An invariant was violated: a fault of this program. */
    INVARIANT_VIOLATED
  }

  /** What happened. */
  Kind kind();

  /** Why: the name of an enum's constant, by which events of one kind are counted. */
  String reasonName();

  /** Id of the request or connection that it happened to. */
  String subjectId();

  /** Further text of the trace line, empty for none; made only where lines are wanted. */
  default String detail() {
    return "";
  }

  /** An event that happens for one of several reasons. */
  sealed interface WithReason extends RouterEvent {
    /** Why it happened. */
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
   * A request has its final answer.
   *
   * @param subjectId the request, or its connection where the request's id is not known
   * @param context when it was answered, or what else says which request it was
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

  /** A request's client cancelled it or disconnected. */
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
   * An attempt is sent.
   *
   * @param timeout time that the worker has for it
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

  /** A client's connection ended with this many requests that were read and have no answer. */
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

  /** A connection to a worker ended; the description says what it was in this case. */
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

  /** An invariant was violated at a time since the router's start. */
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
