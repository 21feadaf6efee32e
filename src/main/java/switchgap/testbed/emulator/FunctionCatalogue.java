package switchgap.testbed.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All functions of a scenario, by request class, with their popularity; hot and one-off functions
 * are created on demand. Safe for use by several threads.
 */
public final class FunctionCatalogue {
  private static final double ZIPF_OFFSET = 1.5;
  private static final double SIZE_SIGMA = 0.4;
  private static final double SIZE_MEAN_CORRECTION = 0.08;
  private static final double WORK_SIGMA = 0.35;
  private static final double WORK_MEAN_CORRECTION = 0.06;
  private static final int SEED_HASH_FACTOR = 31;

  /**
   * What a request class's functions are like on average. Times in microseconds.
   *
   * @param requestClass name of the request class
   * @param share share of all requests
   * @param memoryMb memory of a replica in MB
   * @param slots requests that a replica runs at a time
   * @param loadTime time to load a replica
   * @param work compute time on a core of speed 1
   * @param ioTime time that a request waits for I/O
   * @param workSigma sigma of the lognormal spread of the compute time
   * @param idempotencyWindow time for which an idempotency key is remembered, 0 for never
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
  private final double[] cumulativePopularity;
  private final SplittableRandom random;
  private int hotGeneration;
  private double hotShare;
  private int hotCount = 1;
  private double oneOffShare;
  private int nextOneOff;

  /**
   * Creates the functions.
   *
   * @param groups what the functions of each request class are like
   * @param functions number of functions of each request class
   * @param zipf exponent of their popularity
   * @param seed seed of their sizes
   */
  public FunctionCatalogue(List<FunctionGroup> groups, int functions, double zipf, long seed) {
    this.groups = groups;
    this.random = new SplittableRandom(seed);
    this.cumulativePopularity = new double[functions];
    double sum = 0;
    for (int i = 0; i < functions; i++) {
      sum += 1 / Math.pow(i + ZIPF_OFFSET, zipf);
      cumulativePopularity[i] = sum;
    }
    for (int requestClass = 0; requestClass < groups.size(); requestClass++) {
      List<FunctionModel> popular = new ArrayList<>();
      for (int i = 0; i < functions; i++) {
        popular.add(create(groups.get(requestClass).requestClass() + "-" + i, requestClass));
      }
      popularFunctions.add(popular);
    }
  }

  private FunctionModel create(String name, int requestClass) {
    FunctionGroup group = groups.get(requestClass);
    double size = Math.exp(SIZE_SIGMA * Distributions.gaussian(random) - SIZE_MEAN_CORRECTION);
    double work = Math.exp(WORK_SIGMA * Distributions.gaussian(random) - WORK_MEAN_CORRECTION);
    FunctionModel model =
        new FunctionModel(
            name,
            requestClass,
            group.memoryMb() * size,
            group.slots(),
            (long) (group.loadTime() * size),
            group.work() * work,
            group.ioTime(),
            group.workSigma(),
            group.idempotencyWindow());
    functionsByName.put(name, model);
    return model;
  }

  /** The function of a name, null for none. */
  public synchronized FunctionModel find(String name) {
    return functionsByName.get(name);
  }

  /** All functions created so far. */
  public synchronized List<FunctionModel> functions() {
    return new ArrayList<>(functionsByName.values());
  }

  /**
   * Loads each function at one worker, while memory allows, as if the fleet had served it lately.
   */
  public void seed(List<EmulatedWorker> fleet) {
    for (FunctionModel model : functions()) {
      int worker = Math.floorMod(model.name().hashCode() * SEED_HASH_FACTOR, fleet.size());
      fleet.get(worker).seedReplica(model);
    }
  }

  /**
   * Makes so many new functions of each request class receive a share of all requests; share 0 ends
   * it.
   */
  public synchronized void setHotFunctions(double share, int functions) {
    hotShare = share;
    hotGeneration++;
    if (share > 0) {
      for (int requestClass = 0; requestClass < groups.size(); requestClass++) {
        for (int i = 0; i < functions; i++) {
          create(hotName(requestClass, i), requestClass);
        }
      }
    }
    hotCount = functions;
  }

  private String hotName(int requestClass, int number) {
    return "hot-" + groups.get(requestClass).requestClass() + "-" + hotGeneration + "-" + number;
  }

  /** Sets the share of requests for functions that are requested only once; 0 ends it. */
  public synchronized void setOneOffShare(double share) {
    oneOffShare = share;
  }

  /**
   * Draws the function of the next request; three draws: request class, kind of function,
   * popularity.
   */
  public synchronized FunctionModel draw(SplittableRandom arrivals) {
    int requestClass = drawRequestClass(arrivals.nextDouble());
    double kind = arrivals.nextDouble();
    double place = arrivals.nextDouble();
    if (kind < hotShare) {
      return functionsByName.get(hotName(requestClass, (int) (place * hotCount)));
    }
    if (kind < hotShare + oneOffShare) {
      return create(
          "once-" + groups.get(requestClass).requestClass() + "-" + nextOneOff++, requestClass);
    }
    int last = cumulativePopularity.length - 1;
    int index = Arrays.binarySearch(cumulativePopularity, place * cumulativePopularity[last]);
    int rank = index < 0 ? -index - 1 : index;
    return popularFunctions.get(requestClass).get(Math.min(last, rank));
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
