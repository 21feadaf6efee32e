package switchgap.testbed.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import switchgap.testbed.invariant.Invariant;

/**
 * A router's load commands within a window stay under its ration for the requests that it received
 * in that window.
 */
final class LoadQuotaCheck extends InvariantCheck {
  private final ScenarioSettings.InvariantLimits limits;
  private int loadCommands;
  private double maxRationShare;

  LoadQuotaCheck(ScenarioLog log) {
    super(Invariant.LOAD_QUOTA, log);
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
