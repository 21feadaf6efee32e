package switchgap.testbed.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A router's load commands within a window stay under its ration for the requests that it received
 * in that window.
 */
final class RationRule extends InvariantRule {
  private final ScenarioSettings.InvariantLimits limits;
  private int loadCommands;
  private double maxRationShare;

  RationRule(ScenarioLog log) {
    super(InvariantChecker.Invariant.RATION, log);
    this.limits = log.settings().limits();
  }

  @Override
  void check() {
    int routers = log.settings().routers().count();
    List<ArrayDeque<Long>> windows = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      windows.add(new ArrayDeque<>());
    }
    for (LogLine line : log.fleetLines()) {
      int router = line.integer("router");
      boolean known = router >= 0 && router < routers;
      if (!line.is("load") || line.integer("copies") < 1 || !known) {
        continue;
      }
      loadCommands++;
      if (limits.loadWindow() > 0) {
        checkCommand(line, router, windows.get(router));
      }
    }
  }

  private void checkCommand(LogLine line, int router, ArrayDeque<Long> window) {
    long now = line.at();
    window.add(now);
    while (now - window.peek() > limits.loadWindow()) {
      window.poll();
    }
    long requests =
        log.sendTimes(router).stream()
            .filter(sentAt -> sentAt <= now && now - sentAt <= limits.loadWindow())
            .count();
    double ration = limits.freeLoads() + limits.loadsPerRequest() * requests;
    maxRationShare = Math.max(maxRationShare, window.size() / ration);
    if (window.size() > ration) {
      violated(
          "router "
              + router
              + " ordered "
              + window.size()
              + " loads where "
              + ration
              + " are its ration, "
              + fleetLine(line.number()));
    }
  }

  @Override
  String summary() {
    String use =
        limits.loadWindow() == 0
            ? "no ration is stated"
            : "most of the ration used " + Math.round(maxRationShare * 100) + "%";
    return loadCommands + " load orders; " + use;
  }
}
