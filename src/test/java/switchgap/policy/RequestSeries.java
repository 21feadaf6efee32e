package switchgap.policy;

import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.TestEvents.list;

import switchgap.policy.api.PolicyEvents;

/** A long series of successful requests for function 0 with three workers. */
final class RequestSeries {
  private static final int REQUEST_INDICES = 50;

  private final PolicyHarness harness;
  private int requestCount;

  /** Lists the workers and serves a first request. */
  RequestSeries(PolicyHarness harness) {
    this.harness = harness;
    harness
        .at(0, events -> list(events, 3))
        .at(5, events -> harness.requestArrives(events, 0, 0))
        .at(50, events -> succeed(events, 0, 45));
  }

  /** Serves requests that arrive at an interval; returns the arrival time of the next one. */
  int run(int startMillis, int count, int intervalMillis, int durationMillis) {
    int time = startMillis;
    for (int i = 0; i < count; i++, time += intervalMillis) {
      int request = requestCount++ % REQUEST_INDICES;
      harness.at(time, events -> harness.requestArrives(events, request, 0));
      harness.at(
          time + durationMillis,
          events -> {
            if (harness.sentTo(request) >= 0) {
              succeed(events, request, durationMillis);
            }
          });
    }
    return time;
  }

  private void succeed(PolicyEvents events, int request, int durationMillis) {
    int worker = harness.sentTo(request);
    harness.attemptEnds(
        events, succeeded(request, worker).withDuration(durationMillis).withConcurrency(0));
  }
}
