package switchgap.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import switchgap.policy.state.CandidateSurvey;
import switchgap.policy.state.Durations;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.RequestClass;
import switchgap.policy.state.Worker;

/**
 * Holds the requests that could not be sent at once. At each step the queue tries to send them in
 * descending order of weight. A request gets its final response when it can no longer meet its
 * deadline, has no attempt left, may no longer be repeated, finds the queue of its worker full, or
 * can no longer meet its latency objective; the latency objective is ignored while the request
 * waits for a replica to load.
 */
final class RequestQueue {
  /**
   * Lower bound of the queue limit of a worker, in requests; applies however slow the worker is.
   */
  private static final double MIN_QUEUE_LENGTH = 2;

  private final PolicyState state;
  private final CandidateSelector selector;
  private final RequestRouter router;
  private final RetryPolicy retries;
  private final List<Request> queue = new ArrayList<>();

  RequestQueue(
      PolicyState state, CandidateSelector selector, RequestRouter router, RetryPolicy retries) {
    this.state = state;
    this.selector = selector;
    this.router = router;
    this.retries = retries;
  }

  /** Sends a request now or queues it. */
  void sendOrQueue(Request request) {
    if (!router.send(request, selector.survey(request))) {
      request.markQueued();
      queue.add(request);
    }
  }

  /**
   * Time of the next step of the queue, or {@code latest} if the queue is empty or that is earlier.
   */
  Duration nextStep(Duration latest) {
    return queue.isEmpty() ? latest : Durations.min(state.now().plus(router.queueStep), latest);
  }

  /** Tries to send each queued request, by descending weight, then by arrival time. */
  void sendQueued() {
    if (queue.isEmpty()) {
      return;
    }
    List<Request> queuedRequests = new ArrayList<>(queue);
    queuedRequests.sort(
        Comparator.comparingDouble((Request request) -> -request.weightAt(state.now()))
            .thenComparing(request -> request.arrivedAt));
    queue.clear();
    for (Request request : queuedRequests) {
      if (request.isQueued()) {
        retryOrGiveUp(request);
      }
    }
    state.workers.forEach(Worker::resetQueued);
  }

  private void retryOrGiveUp(Request request) {
    if (request.isWaitingForProbes(state.now())) {
      queue.add(request);
      return;
    }
    CandidateSurvey survey = selector.survey(request);
    if (router.send(request, survey)) {
      request.markDequeued();
    } else if (mayStayQueued(request, survey)) {
      queue.add(request);
    } else {
      retries.giveUp(request);
    }
  }

  /** Whether a request may stay queued. Counts it in the queue of the worker that it waits for. */
  private boolean mayStayQueued(Request request, CandidateSurvey survey) {
    boolean isQueueFull = survey.anyLoaded() && enqueueExceedsLimit(request, survey.first());
    RequestClass requestClass = request.requestClass;
    Duration expectedDuration = LoadEstimator.medianDuration(requestClass);
    Duration expectedLatency = state.now().minus(request.arrivedAt).plus(expectedDuration);
    boolean missesObjective = !Durations.isShorter(expectedLatency, requestClass.latencyObjective);
    boolean waitsForLoad = !survey.anyLoaded() && survey.anyLoading();
    return !isQueueFull && (waitsForLoad || !missesObjective) && retries.mayRetry(request);
  }

  /**
   * Counts a request in a worker's queue and returns whether the queue was already at its limit:
   * the number of requests that the worker completes in half a latency objective, scaled by the
   * request's weight relative to that of its class.
   */
  private boolean enqueueExceedsLimit(Request request, Worker worker) {
    RequestClass requestClass = request.requestClass;
    double completionRate = worker.relativeDurations.total() / 2;
    double maxLength =
        Math.max(
            MIN_QUEUE_LENGTH,
            completionRate * Durations.toSeconds(requestClass.latencyObjective) / 2);
    return worker.countQueued() >= maxLength * request.weight() / requestClass.priorityWeight;
  }
}
