package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.WindowedSum;

/**
 * Checks that the number of a router's load commands within any window stays within its quota,
 * which grows with the number of requests that the router received in that window.
 */
final class LoadQuotaCheck extends InvariantCheck {
  private final ScenarioSettings.InvariantLimits limits;
  private final List<WindowedSum> commandsByRouter = new ArrayList<>();
  private int loadCommandCount;
  private double maxQuotaUsage;

  LoadQuotaCheck(ScenarioLog log) {
    super(Invariant.LOAD_QUOTA, log);
    this.limits = log.settings().invariantLimits();
  }

  @Override
  void check() {
    int routers = log.settings().routers().count();
    for (int i = 0; i < routers; i++) {
      commandsByRouter.add(new WindowedSum(limits.loadWindow()));
    }
    for (LogLine line : log.fleetLines()) {
      int router = line.router();
      boolean isKnownRouter = router >= 0 && router < routers;
      if (!line.hasEvent(ScenarioEvent.LOAD_RECEIVED)
          || line.integer("copies") < 1
          || !isKnownRouter) {
        continue;
      }
      loadCommandCount++;
      if (limits.loadWindow() > 0) {
        checkCommand(line, router);
      }
    }
  }

  private void checkCommand(LogLine line, int router) {
    WindowedSum commands = commandsByRouter.get(router);
    commands.add(line.time(), 1);
    double quota =
        limits.freeLoads() + limits.loadsPerRequest() * requestCount(router, line.time());
    maxQuotaUsage = Math.max(maxQuotaUsage, commands.count() / quota);
    if (commands.count() > quota) {
      recordViolation(
          "router "
              + router
              + " sent "
              + commands.count()
              + " load commands within the window; its quota is "
              + quota
              + ", "
              + fleetLine(line.lineNumber()));
    }
  }

  /** Number of requests that clients sent to a router within the window before a time. */
  private long requestCount(int router, long windowEnd) {
    return log.attempts().sendTimes(router).stream()
        .filter(sentAt -> sentAt <= windowEnd && windowEnd - sentAt <= limits.loadWindow())
        .count();
  }

  @Override
  String summary() {
    String quotaUsage =
        limits.loadWindow() == 0
            ? "no quota is configured"
            : "at most " + Math.round(maxQuotaUsage * 100) + "% of a quota used";
    return loadCommandCount + " load commands; " + quotaUsage;
  }
}
