package switchgap.testbed.scenario;

/** Distribution of the clients' requests over the routers of a scenario. */
final class RouterShares {
  private RouterShares() {}

  /**
   * Returns the share of the requests that each router receives. The first receives {@code
   * busiestShare}; the others divide the remainder in proportion to 1, 1/2, 1/3 and so on.
   *
   * @param routers number of routers, at least 1
   * @param busiestShare share of the first router; ignored for a single router, which receives all
   */
  static double[] of(int routers, double busiestShare) {
    double[] shares = new double[routers];
    double remainingShare = routers == 1 ? 1 : 1 - busiestShare;
    double weightSum = 0;
    for (int i = 1; i < routers; i++) {
      weightSum += 1.0 / i;
    }
    shares[0] = routers == 1 ? 1 : busiestShare;
    for (int i = 1; i < routers; i++) {
      shares[i] = remainingShare / i / weightSum;
    }
    return shares;
  }
}
