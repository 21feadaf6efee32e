package switchgap.testbed.scenario;

/**
 * Types of faults that a fault script injects. Their names are the words of scenarios and logs;
 * docs/scenarios.md describes them.
 */
public enum FaultType {
  /** Workers execute and load more slowly. */
  SLOW,
  /** Workers respond with an error. */
  ERRORS,
  /** Workers execute requests and never respond. */
  ANSWERS_LOST,
  /** Workers reset the connection amid the response. */
  RESET_MID_ANSWER,
  /** Workers stop amid the response. */
  HALF_ANSWERS,
  /** Workers respond seconds late. */
  LATE_ANSWERS,
  /** Workers send the response twice. */
  ANSWERED_TWICE,
  /** Workers send more than the response's length says. */
  OVERSIZED_ANSWERS,
  /** Workers close the connection when a request arrives. */
  CLOSED_AT_REQUEST,
  /** Workers serve requests after a delay. */
  SLOW_CONNECTIONS,
  /** All tenants send more. */
  BURST,
  /** One tenant sends more. */
  CUSTOMER_BURST,
  /** One tenant's clients time out early and retry at once. */
  HAMMERING,
  /** New functions receive a share of the requests. */
  HOT_FUNCTIONS,
  /** A share of the requests is for functions that are requested only once. */
  ONE_OFF_FUNCTIONS,
  /** New releases of functions make loaded replicas void. */
  RELEASED_ANEW,
  /** All traffic goes to the routers of one zone. */
  TRAFFIC_MOVED,
  /** Fetches from the store take longer. */
  STORE_SLOW,
  /** The endpoint list lags more. */
  LIST_LATE,
  /** The endpoint list service is unavailable. */
  LIST_AWAY,
  /** Workers drain and are replaced. */
  DRAIN,
  /** Workers drain for half a second and are replaced. */
  TAKEN_AWAY,
  /** A rolling replacement of workers. */
  RELEASE,
  /** Workers die and are replaced later. */
  WORKERS_KILLED,
  /** Workers die and start again under their names. */
  WORKER_RESTARTED,
  /** A router dies and starts again. */
  ROUTER_KILLED,
  /** Routers restart one after the other. */
  ROUTERS_RESTARTED,
  /** A router is stopped by a signal for a while. */
  ROUTER_PAUSED,
  /** All planners die and start again. */
  PLANNERS_KILLED,
  /** All planners are stopped by a signal for a while. */
  PLANNERS_PAUSED
}
