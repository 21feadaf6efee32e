package switchgap.testbed.scenario;

/**
 * Types of faults that a fault script can inject. The names of the constants are used in scenario
 * documents and in logs; docs/scenarios.md describes each type.
 */
public enum FaultType {
  /** Workers execute requests and load functions more slowly. */
  SLOW,
  /** Workers respond with an error. */
  ERRORS,
  /** Workers execute requests and never send a response. */
  ANSWERS_LOST,
  /** Workers reset the connection in the middle of the response. */
  RESET_MID_ANSWER,
  /** Workers send part of the response and keep the connection open. */
  HALF_ANSWERS,
  /** Workers send the response with a delay of seconds. */
  LATE_ANSWERS,
  /** Workers send the response twice. */
  ANSWERED_TWICE,
  /** Workers send more bytes than the Content-Length of the response states. */
  OVERSIZED_ANSWERS,
  /** Workers close the connection as soon as a request arrives. */
  CLOSED_AT_REQUEST,
  /** Workers delay requests as a slow connection does. */
  SLOW_CONNECTIONS,
  /** All tenants send requests at a higher rate. */
  BURST,
  /** One tenant sends requests at a higher rate. */
  CUSTOMER_BURST,
  /** Clients of one tenant time out early and retry immediately. */
  HAMMERING,
  /** A share of the requests is for a few functions that were not requested before. */
  HOT_FUNCTIONS,
  /** A share of the requests is for functions that are requested only once each. */
  ONE_OFF_FUNCTIONS,
  /** New releases of functions: workers unload the replicas of these functions. */
  RELEASED_ANEW,
  /** Clients send all requests to the routers of one zone. */
  TRAFFIC_MOVED,
  /** Fetches from the store take longer. */
  STORE_SLOW,
  /** Routers are notified of changes to the endpoint list with a longer delay. */
  LIST_LATE,
  /** The endpoint list service is unavailable. */
  LIST_AWAY,
  /** Workers drain, end and are replaced by cold ones. */
  DRAIN,
  /** Workers are ended after draining for only half a second, and are replaced by cold ones. */
  TAKEN_AWAY,
  /** Workers drain and are replaced in batches, as in a rolling release. */
  RELEASE,
  /** Workers are killed and are replaced later by cold ones. */
  WORKERS_KILLED,
  /** Workers are killed and restart later under the same names. */
  WORKER_RESTARTED,
  /** A router is killed and restarted later. */
  ROUTER_KILLED,
  /** Routers are killed and restarted one after the other. */
  ROUTERS_RESTARTED,
  /** A router process is suspended by a signal for a time. */
  ROUTER_PAUSED,
  /** All planners are killed and restarted later. */
  PLANNERS_KILLED,
  /** All planner processes are suspended by a signal for a time. */
  PLANNERS_PAUSED
}
