package switchgap.testbed.scenario;

/** Events that the checks read in the logs of a scenario, with the word of each in the logs. */
enum ScenarioEvent {
  /** Clients' log: an attempt was sent. */
  ATTEMPT_SENT("call"),
  /** Clients' log: an attempt ended; workers' log: an execution ended with a response. */
  ENDED("answer"),
  /** Clients' log: a response arrived after the attempt had ended. */
  LATE_RESPONSE("late-answer"),
  /** Workers' log: a request arrived. */
  REQUEST_RECEIVED("infer"),
  /** Workers' log: a request was started. */
  EXECUTION_STARTED("ran"),
  /** Workers' log: the router closed the connection of a request. */
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
  /** Log of the fault script: a router was started again. */
  ROUTER_STARTED("router-started"),
  /** Log of the fault script: a router was suspended. */
  ROUTER_PAUSED("router-paused"),
  /** Log of the fault script: a router was resumed. */
  ROUTER_RESUMED("router-resumed"),
  /** Any log: its last line. */
  END_OF_LOG("end"),
  /** Any other event; no check reads it. */
  OTHER("");

  private final String word;

  ScenarioEvent(String word) {
    this.word = word;
  }

  /** The word for it in the logs. */
  String word() {
    return word;
  }

  /** The event of a word, {@link #OTHER} for an unknown one. */
  static ScenarioEvent of(String word) {
    for (ScenarioEvent event : values()) {
      if (event.word.equals(word)) {
        return event;
      }
    }
    return OTHER;
  }
}
