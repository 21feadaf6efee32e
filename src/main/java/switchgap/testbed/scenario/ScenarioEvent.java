package switchgap.testbed.scenario;

/** Events in the logs of a scenario that the checks use, each with its name in the logs. */
enum ScenarioEvent {
  /** Clients' log: an attempt was sent. */
  ATTEMPT_SENT("call"),
  /** Clients' log: an attempt ended. Workers' log: an execution ended with a response. */
  ENDED("answer"),
  /** Clients' log: a response arrived after the client had recorded the end of the attempt. */
  LATE_RESPONSE("late-answer"),
  /** Workers' log: a request arrived. */
  REQUEST_RECEIVED("infer"),
  /** Workers' log: the execution of a request started. */
  EXECUTION_STARTED("ran"),
  /** Workers' log: the router closed the connection on which it had sent a request. */
  CONNECTION_CLOSED("left"),
  /** Workers' log: a request was recognized as a repeat by its idempotency key. */
  REPEAT_DROPPED("repeat-dropped"),
  /** Workers' log: a load command arrived. */
  LOAD_RECEIVED("load"),
  /** Workers' log: a worker started. */
  WORKER_STARTED("started"),
  /** Workers' log: a worker crashed because of overload. */
  WORKER_CRASHED("fell"),
  /** Workers' log: the process of a worker ended. */
  WORKER_ENDED("ended"),
  /** Log of the endpoint list: a router was notified of a change. */
  ROUTER_NOTIFIED("told"),
  /** Log of the fault script: a router was killed. */
  ROUTER_KILLED("router-killed"),
  /** Log of the fault script: a killed router was restarted. */
  ROUTER_STARTED("router-started"),
  /** Log of the fault script: a router process was suspended. */
  ROUTER_PAUSED("router-paused"),
  /** Log of the fault script: a router process was resumed. */
  ROUTER_RESUMED("router-resumed"),
  /** Last line of every log. */
  END_OF_LOG("end"),
  /** Any other event; the checks ignore it. */
  OTHER("");

  private final String word;

  ScenarioEvent(String word) {
    this.word = word;
  }

  /** Name of the event in the logs. */
  String word() {
    return word;
  }

  /** The event with this name in the logs, {@link #OTHER} if there is none. */
  static ScenarioEvent of(String word) {
    for (ScenarioEvent event : values()) {
      if (event.word.equals(word)) {
        return event;
      }
    }
    return OTHER;
  }
}
