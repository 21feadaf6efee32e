package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.WindowedSum;

/**
 * A router's load commands within a window stay under its quota for the requests that it received
 * in that window.
 */
final class LoadQuotaCheck extends InvariantCheck {
  private final ScenarioSettings.InvariantLimits limits;
  private final List<WindowedSum> commandsByRouter = new ArrayList<>();
  private int loadCommands;
  private double maxQuotaShare;

  LoadQuotaCheck(ScenarioLog log) {
    super(Invariant.LOAD_QUOTA, log);
    this.limits = log.settings().limits();
  }

  @Override
  void check() {
    int routers = log.settings().routers().count();
    for (int i = 0; i < routers; i++) {
      commandsByRouter.add(new WindowedSum(limits.loadWindow()));
    }
    for (LogLine line : log.fleetLines()) {
      int router = line.router();
      boolean known = router >= 0 && router < routers;
      if (!line.is(ScenarioEvent.LOAD_RECEIVED) || line.integer("copies") < 1 || !known) {
        continue;
      }
      loadCommands++;
      if (limits.loadWindow() > 0) {
        checkCommand(line, router);
      }
    }
  }

  private void checkCommand(LogLine line, int router) {
    WindowedSum commands = commandsByRouter.get(router);
    commands.add(line.at(), 1);
    double quota = limits.freeLoads() + limits.loadsPerRequest() * requests(router, line.at());
    maxQuotaShare = Math.max(maxQuotaShare, commands.count() / quota);
    if (commands.count() > quota) {
      violated(
          "router "
              + router
              + " ordered "
              + commands.count()
              + " loads where "
              + quota
              + " are its ration, "
              + fleetLine(line.number()));
    }
  }

  /** Number of requests that a router received within the window that ends at a time. */
  private long requests(int router, long now) {
    return log.attempts().sendTimes(router).stream()
        .filter(sentAt -> sentAt <= now && now - sentAt <= limits.loadWindow())
        .count();
  }

  @Override
  String summary() {
    String use =
        limits.loadWindow() == 0
            ? "no ration is stated"
            : "most of the ration used " + Math.round(maxQuotaShare * 100) + "%";
    return loadCommands + " load orders; " + use;
  }
}
