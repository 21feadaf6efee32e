package switchgap.testbed.scenario;

/** How clients distribute their requests over the routers of a scenario. */
final class RouterShares {
  private RouterShares() {}

  /**
   * The share of each router: the first receives a stated share, the others divide the rest in
   * proportion to 1, 1/2, 1/3 and so on.
   *
   * @param routers number of routers, one at the least
   * @param busiestShare share of the first router; a single router receives all
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
