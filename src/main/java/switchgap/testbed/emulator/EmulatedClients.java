package switchgap.testbed.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongToDoubleFunction;

/**
 * Clients that generate open-loop load: arrivals do not depend on the responses to earlier
 * requests. The clients time out, retry as their request class allows, and count the results. Used
 * only on the scheduler's thread.
 */
public final class EmulatedClients {
  private static final double MIN_RATE_CURVE_FACTOR = 1e-3;
  private static final double MICROS_PER_SECOND = 1e6;

  private final Scheduler scheduler;
  private final FunctionCatalogue catalogue;
  private final ClientSettings settings;
  private final SplittableRandom random;
  private final TrafficMix trafficMix;
  private final ServiceTally tally;
  private final ClientRetries retries;
  private final Map<String, Integer> maxStormRetriesByTenant = new HashMap<>();
  private LongConsumer sendDelayListener = delay -> {};
  private double rateFactor = 1;
  private LongToDoubleFunction rateCurve = elapsed -> 1;
  private long startedAt;
  private long arrivalsEndAt;
  private long nextArrivalAt;
  private long nextRequestNumber;

  /** Creates clients that send nothing until {@link #start} is called. */
  public EmulatedClients(
      Scheduler scheduler,
      ClientTransport transport,
      FunctionCatalogue catalogue,
      ClientSettings settings) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.trafficMix = new TrafficMix(settings.routerShares(), settings.tenantShares());
    this.tally = new ServiceTally(settings.requestClasses());
    this.retries = new ClientRetries(scheduler, transport, settings.retries(), tally);
  }

  /** Sets the zone of a router, which {@link #shiftTrafficTo} uses. */
  public void setZone(int router, String zone) {
    trafficMix.setZone(router, zone);
  }

  /** Sets the listener that receives the result of each request. */
  public void onRequestEnded(Consumer<RequestResult> listener) {
    retries.setRequestListener(listener);
  }

  /**
   * Sets the listener that receives, for each request, the microseconds between its scheduled
   * arrival and the time it is sent.
   */
  public void onRequestSent(LongConsumer listener) {
    sendDelayListener = listener;
  }

  /** Sets a factor on the request rate as a function of the microseconds since the start. */
  public void setRateCurve(LongToDoubleFunction factorByElapsedMicros) {
    rateCurve = factorByElapsedMicros;
  }

  /** Sets a factor on the request rate of all tenants; 1 is the normal rate. */
  public void setRateFactor(double factor) {
    rateFactor = factor;
  }

  /** Sets a factor on one tenant's request rate; 1 is the normal rate. */
  public void setRateFactor(String tenant, double factor) {
    trafficMix.setTenantRateFactor(tenant, factor);
  }

  /**
   * Makes one tenant's clients time out early and retry without backoff, up to {@code maxRetries}
   * times; 0 ends the retry storm.
   */
  public void setRetryStorm(String tenant, int maxRetries) {
    if (maxRetries == 0) {
      maxStormRetriesByTenant.remove(tenant);
    } else {
      maxStormRetriesByTenant.put(tenant, maxRetries);
    }
  }

  /** Sends all traffic to the routers of one zone; null restores the configured shares. */
  public void shiftTrafficTo(String zone) {
    trafficMix.shiftToZone(zone);
  }

  /** Starts arrivals, until {@code endsAt} in microseconds of the scheduler's clock. */
  public void start(long endsAt) {
    startedAt = scheduler.now();
    arrivalsEndAt = endsAt;
    nextArrivalAt = startedAt;
    tally.begin(startedAt, endsAt);
    arrive();
  }

  /**
   * Starts arrivals for a duration in microseconds from now, and returns the time at which they
   * end. Must be called on the scheduler's thread: if the call were posted there with an end time
   * computed earlier, the delay would shorten the run.
   */
  public long startFor(long durationMicros) {
    long endsAt = scheduler.now() + durationMicros;
    start(endsAt);
    return endsAt;
  }

  /** Number of attempts in flight. */
  public long attemptsInFlight() {
    return retries.inFlight();
  }

  /** Counts of requests and attempts by request class name. */
  public Map<String, RequestTally> tallies() {
    return tally.byRequestClass();
  }

  /** Weight earned divided by weight requested, over all request classes. */
  public double service() {
    return tally.service();
  }

  /** Lowest quotient of weight earned and weight requested in any window of this many seconds. */
  public double worstWindowService(int seconds) {
    return tally.worstWindow(seconds);
  }

  /** Weight requested and earned, by tenant name. */
  public Map<String, ServiceWeights> weightsByTenant() {
    return tally.byTenant();
  }

  /** Weight requested and earned, by the second since the start in which the request arrived. */
  public Map<Long, ServiceWeights> weightsBySecond() {
    return tally.bySecond();
  }

  /**
   * Generates one request and schedules the next. The random draws must keep their order (interval,
   * function, tenant, router, split), so that a seed keeps producing the same requests.
   */
  private void arrive() {
    // The scheduled time, not the current one: if this thread is late, the rate must not drop.
    long arrivedAt = nextArrivalAt;
    if (arrivedAt >= arrivalsEndAt) {
      return;
    }
    double totalWeight = trafficMix.totalWeight();
    double rate =
        settings.rate()
            * rateFactor
            * totalWeight
            * Math.max(MIN_RATE_CURVE_FACTOR, rateCurve.applyAsDouble(arrivedAt - startedAt));
    nextArrivalAt += (long) (-Math.log(1 - random.nextDouble()) / rate * MICROS_PER_SECOND);
    scheduler.after(nextArrivalAt - scheduler.now(), this::arrive);
    FunctionModel function = catalogue.draw(random);
    String tenant = trafficMix.drawTenant(random, totalWeight);
    int router = trafficMix.drawRouter(random);
    ClientRequest request =
        new ClientRequest(
            new ClientRequest.Arrival(
                "j" + nextRequestNumber++, function, tenant, router, arrivedAt),
            settings.requestClasses().get(function.requestClass()),
            maxStormRetriesByTenant.getOrDefault(tenant, 0),
            random.split());
    tally.requestArrived(request);
    sendDelayListener.accept(scheduler.now() - arrivedAt);
    retries.sendAttempt(request);
  }
}
