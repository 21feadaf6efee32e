package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/** The settings of a request class, and measurements of its attempts at loaded replicas. */
public final class RequestClass {
  public final Duration latencyObjective;
  public final Duration deduplicationWindow;
  public final double priorityWeight;
  public final double lateValueShare;
  public final Idempotency idempotency;
  public final DeduplicationScope deduplicationScope;

  /** Ratios of durations to the latency objective. */
  public final Histogram relativeDurations;

  /** Other routers' requests at the worker of each attempt, one value per duration. */
  public final Histogram foreignLoads;

  RequestClass(RouterSettings settings, int index, HistogramEdges edges) {
    latencyObjective = settings.latencyObjective(index);
    deduplicationWindow = settings.deduplicationWindow(index);
    priorityWeight = settings.priorityWeight(index);
    lateValueShare = settings.lateValueShare(index);
    idempotency = settings.idempotency(index);
    deduplicationScope = settings.deduplicationScope(index);
    relativeDurations = new Histogram(edges.relativeDurations());
    foreignLoads = new Histogram(edges.foreignLoads());
  }

  /** Records a response from a loaded replica. */
  public void responded(double relativeDuration, double foreignLoad) {
    relativeDurations.add(relativeDuration);
    foreignLoads.add(foreignLoad);
  }

  /** Halves the counts if there are more responses than a maximum. */
  public void halveAbove(double maxSamples) {
    if (relativeDurations.total() > maxSamples) {
      relativeDurations.halve();
      foreignLoads.halve();
    }
  }
}
