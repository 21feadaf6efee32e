package switchgap.testbed.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongToDoubleFunction;

/**
 * Clients with open-loop arrivals: they do not wait for responses before they send the next
 * request. They time out, retry what their request class allows, and count what became of it. On
 * the scheduler's thread.
 */
public final class EmulatedClients {
  private static final double MIN_CURVE_FACTOR = 1e-3;
  private static final double MICROS_PER_SECOND = 1e6;

  private final Scheduler scheduler;
  private final FunctionCatalogue catalogue;
  private final ClientSettings settings;
  private final SplittableRandom random;
  private final TrafficMix mix;
  private final ServiceTally tally;
  private final ClientRetries retries;
  private final Map<String, Integer> stormRetries = new HashMap<>();
  private LongConsumer sendDelayListener = delay -> {};
  private double rateFactor = 1;
  private LongToDoubleFunction curve = elapsed -> 1;
  private long startedAt;
  private long endsAt;
  private long nextArrival;
  private long nextId;

  /** Clients that send nothing before {@link #start}. */
  public EmulatedClients(
      Scheduler scheduler,
      ClientTransport transport,
      FunctionCatalogue catalogue,
      ClientSettings settings) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.mix = new TrafficMix(settings.routerShares(), settings.tenantShares());
    this.tally = new ServiceTally(settings.requestClasses());
    this.retries = new ClientRetries(scheduler, transport, settings.retries(), tally);
  }

  /** Sets the zone of a router, for traffic that moves between zones. */
  public void setZone(int router, String zone) {
    mix.setZone(router, zone);
  }

  /** Sets who is notified of each request's end. */
  public void onRequestEnded(Consumer<RequestResult> listener) {
    retries.setListener(listener);
  }

  /**
   * Sets who is notified, for each request, by how many microseconds it is sent after it was due.
   */
  public void onRequestSent(LongConsumer listener) {
    sendDelayListener = listener;
  }

  /** Sets the load over time: a factor on the rate, by microseconds since the start. */
  public void setRateCurve(LongToDoubleFunction factorByElapsedMicros) {
    curve = factorByElapsedMicros;
  }

  /** Multiplies the rate of all tenants; 1 ends it. */
  public void setRateFactor(double factor) {
    rateFactor = factor;
  }

  /** Multiplies one tenant's rate; 1 ends it. */
  public void setRateFactor(String tenant, double factor) {
    mix.setTenantRateFactor(tenant, factor);
  }

  /** Makes one tenant's clients time out early and retry at once, so many times; 0 ends it. */
  public void setRetryStorm(String tenant, int maxRetries) {
    if (maxRetries == 0) {
      stormRetries.remove(tenant);
    } else {
      stormRetries.put(tenant, maxRetries);
    }
  }

  /** Sends all traffic to the routers of one zone; null ends it. */
  public void shiftTrafficTo(String zone) {
    mix.shiftTo(zone);
  }

  /** Starts arrivals; they end at this time, microseconds of the scheduler's clock. */
  public void start(long end) {
    startedAt = scheduler.now();
    endsAt = end;
    nextArrival = startedAt;
    tally.begin(startedAt, end);
    arrive();
  }

  /**
   * Starts arrivals for a time in microseconds from now, and returns when they end. To be called on
   * the scheduler's thread, so that the time on the way there is not taken from them.
   */
  public long startFor(long duration) {
    long end = scheduler.now() + duration;
    start(end);
    return end;
  }

  /** Number of attempts in flight. */
  public long attemptsInFlight() {
    return retries.inFlight();
  }

  /** Counts by name of the request class. */
  public Map<String, RequestTally> tallies() {
    return tally.byRequestClass();
  }

  /** Weight earned over weight requested, over all request classes. */
  public double service() {
    return tally.service();
  }

  /** Weight earned over weight requested in the worst window of so many seconds. */
  public double worstWindowService(int seconds) {
    return tally.worstWindow(seconds);
  }

  /** Weight requested and earned by tenant. */
  public Map<String, ServiceWeights> weightsByTenant() {
    return tally.byTenant();
  }

  /** Weight requested and earned of the requests that arrived in each second since the start. */
  public Map<Long, ServiceWeights> weightsBySecond() {
    return tally.bySecond();
  }

  /**
   * The order of its random draws is part of a seed's meaning: interval, function, tenant, router,
   * split.
   */
  private void arrive() {
    // Not the time of sending: a sender that falls behind must not thin out the load.
    long arrivedAt = nextArrival;
    if (arrivedAt >= endsAt) {
      return;
    }
    double totalWeight = mix.totalWeight();
    double rate =
        settings.rate()
            * rateFactor
            * totalWeight
            * Math.max(MIN_CURVE_FACTOR, curve.applyAsDouble(arrivedAt - startedAt));
    nextArrival += (long) (-Math.log(1 - random.nextDouble()) / rate * MICROS_PER_SECOND);
    scheduler.after(nextArrival - scheduler.now(), this::arrive);
    FunctionModel function = catalogue.draw(random);
    String tenant = mix.drawTenant(random, totalWeight);
    int router = mix.drawRouter(random);
    ClientRequest request =
        new ClientRequest(
            new ClientRequest.Arrival("j" + nextId++, function, tenant, router, arrivedAt),
            settings.requestClasses().get(function.requestClass()),
            stormRetries.getOrDefault(tenant, 0),
            random.split());
    tally.requestArrived(request);
    sendDelayListener.accept(scheduler.now() - arrivedAt);
    retries.attempt(request);
  }
}
