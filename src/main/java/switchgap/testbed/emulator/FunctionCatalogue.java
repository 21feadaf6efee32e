package switchgap.testbed.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All functions of a scenario, by request class and popularity. Functions are popular from the
 * start, temporarily hot, or one-off; the latter two are created on demand. Thread-safe.
 */
public final class FunctionCatalogue {
  private static final double ZIPF_OFFSET = 1.5;
  private static final double SIZE_SIGMA = 0.4;

  /** Half the variance of the size factor's logarithm, so that the factor has mean 1. */
  private static final double SIZE_MEAN_CORRECTION = 0.08;

  private static final double WORK_SIGMA = 0.35;

  /** Half the variance of the work factor's logarithm, rounded, so that the factor has mean 1. */
  private static final double WORK_MEAN_CORRECTION = 0.06;

  private static final int WORKER_HASH_FACTOR = 31;

  /**
   * The average properties of a request class's functions. Times are in microseconds.
   *
   * @param requestClass name of the request class
   * @param share share of all requests that belong to the request class
   * @param memoryMb memory of a replica in MB
   * @param slots number of requests that a replica runs concurrently
   * @param loadTime time to load a replica, including the fetch
   * @param work compute time on a core of speed 1
   * @param ioTime time that a request waits for I/O before it computes
   * @param workSigma sigma of the lognormal spread of the compute time
   * @param idempotencyWindow time for which workers remember an idempotency key; 0 if they ignore
   *     idempotency keys
   */
  public record FunctionGroup(
      String requestClass,
      double share,
      double memoryMb,
      int slots,
      long loadTime,
      double work,
      double ioTime,
      double workSigma,
      long idempotencyWindow) {}

  private final List<FunctionGroup> groups;
  private final List<List<FunctionModel>> popularFunctions = new ArrayList<>();
  private final Map<String, FunctionModel> functionsByName = new HashMap<>();
  private final double[] cumulativePopularityByRank;
  private final SplittableRandom random;
  private int hotGeneration;
  private double hotShare;
  private int hotFunctionsPerClass = 1;
  private double oneOffShare;
  private int nextOneOffNumber;

  /**
   * Creates the popular functions of each request class.
   *
   * @param groups properties of the functions, by request class index
   * @param functionsPerClass number of popular functions of each request class
   * @param zipfExponent exponent of the Zipf distribution of their popularity
   * @param seed seed of the random memory sizes, load times and compute times
   */
  public FunctionCatalogue(
      List<FunctionGroup> groups, int functionsPerClass, double zipfExponent, long seed) {
    this.groups = groups;
    this.random = new SplittableRandom(seed);
    this.cumulativePopularityByRank = new double[functionsPerClass];
    double sum = 0;
    for (int i = 0; i < functionsPerClass; i++) {
      sum += 1 / Math.pow(i + ZIPF_OFFSET, zipfExponent);
      cumulativePopularityByRank[i] = sum;
    }
    for (int requestClass = 0; requestClass < groups.size(); requestClass++) {
      List<FunctionModel> popular = new ArrayList<>();
      for (int i = 0; i < functionsPerClass; i++) {
        popular.add(
            createFunction(groups.get(requestClass).requestClass() + "-" + i, requestClass));
      }
      popularFunctions.add(popular);
    }
  }

  private FunctionModel createFunction(String name, int requestClass) {
    FunctionGroup group = groups.get(requestClass);
    double sizeFactor =
        Math.exp(SIZE_SIGMA * Distributions.gaussian(random) - SIZE_MEAN_CORRECTION);
    double workFactor =
        Math.exp(WORK_SIGMA * Distributions.gaussian(random) - WORK_MEAN_CORRECTION);
    FunctionModel model =
        new FunctionModel(
            name,
            requestClass,
            group.memoryMb() * sizeFactor,
            group.slots(),
            (long) (group.loadTime() * sizeFactor),
            group.work() * workFactor,
            group.ioTime(),
            group.workSigma(),
            group.idempotencyWindow());
    functionsByName.put(name, model);
    return model;
  }

  /** Returns the function with this name, or null. */
  public synchronized FunctionModel find(String name) {
    return functionsByName.get(name);
  }

  /** A copy of the list of all functions created so far. */
  public synchronized List<FunctionModel> functions() {
    return new ArrayList<>(functionsByName.values());
  }

  /**
   * Adds one loaded replica of each function to a worker, while memory allows, to emulate a fleet
   * that has already served requests.
   */
  public void seedReplicas(List<EmulatedWorker> fleet) {
    for (FunctionModel model : functions()) {
      int workerIndex = Math.floorMod(model.name().hashCode() * WORKER_HASH_FACTOR, fleet.size());
      fleet.get(workerIndex).seedReplica(model);
    }
  }

  /**
   * Creates new functions in each request class that together receive a share of its requests. A
   * share of 0 ends this.
   */
  public synchronized void setHotFunctions(double share, int functionsPerClass) {
    hotShare = share;
    hotGeneration++;
    if (share > 0) {
      for (int requestClass = 0; requestClass < groups.size(); requestClass++) {
        for (int i = 0; i < functionsPerClass; i++) {
          createFunction(hotName(requestClass, i), requestClass);
        }
      }
    }
    hotFunctionsPerClass = functionsPerClass;
  }

  private String hotName(int requestClass, int number) {
    return "hot-" + groups.get(requestClass).requestClass() + "-" + hotGeneration + "-" + number;
  }

  /**
   * Sets the share of requests that each invoke a new function, which is not invoked again; 0 ends
   * this.
   */
  public synchronized void setOneOffShare(double share) {
    oneOffShare = share;
  }

  /**
   * Draws the function of the next request, always with three random draws: request class; whether
   * the function is hot, one-off or popular; and which function it is.
   */
  public synchronized FunctionModel draw(SplittableRandom arrivals) {
    int requestClass = drawRequestClass(arrivals.nextDouble());
    double functionKindDraw = arrivals.nextDouble();
    double popularityDraw = arrivals.nextDouble();
    if (functionKindDraw < hotShare) {
      return functionsByName.get(
          hotName(requestClass, (int) (popularityDraw * hotFunctionsPerClass)));
    }
    if (functionKindDraw < hotShare + oneOffShare) {
      return createFunction(
          "once-" + groups.get(requestClass).requestClass() + "-" + nextOneOffNumber++,
          requestClass);
    }
    int lastRank = cumulativePopularityByRank.length - 1;
    int index =
        Arrays.binarySearch(
            cumulativePopularityByRank, popularityDraw * cumulativePopularityByRank[lastRank]);
    int rank = index < 0 ? -index - 1 : index;
    return popularFunctions.get(requestClass).get(Math.min(lastRank, rank));
  }

  private int drawRequestClass(double draw) {
    double remaining = draw;
    int requestClass = 0;
    while (requestClass < groups.size() - 1 && remaining >= groups.get(requestClass).share()) {
      remaining -= groups.get(requestClass).share();
      requestClass++;
    }
    return requestClass;
  }
}
