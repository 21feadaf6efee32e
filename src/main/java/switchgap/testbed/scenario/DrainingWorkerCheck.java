package switchgap.testbed.scenario;

import java.util.HashMap;
import java.util.Map;
import switchgap.testbed.emulator.EndpointState;
import switchgap.testbed.invariant.Invariant;

/**
 * Checks that a router sends no requests and no load commands to a worker later than the grace
 * period after the endpoint list notified the router that the worker is draining or gone.
 */
final class DrainingWorkerCheck extends InvariantCheck {
  private static final long NO_SEND = -1;

  private final Map<String, Long> notificationTimes = new HashMap<>();
  private int nextListLine;
  private int notificationCount;
  private long maxSendDelay = NO_SEND;

  DrainingWorkerCheck(ScenarioLog log) {
    super(Invariant.NO_SEND_TO_DRAINING_WORKER, log);
  }

  @Override
  void check() {
    for (LogLine line : log.fleetLines()) {
      if (line.hasEvent(ScenarioEvent.REQUEST_RECEIVED)
          || line.hasEvent(ScenarioEvent.LOAD_RECEIVED)) {
        readNotificationsUntil(line.time());
        checkSend(line);
      }
    }
    readNotificationsUntil(Long.MAX_VALUE);
  }

  private void checkSend(LogLine line) {
    Long notificationTime = notificationTimes.get(routerAndWorker(line));
    if (notificationTime == null) {
      return;
    }
    long sendDelay = line.time() - notificationTime;
    maxSendDelay = Math.max(maxSendDelay, sendDelay);
    if (sendDelay > log.settings().invariantLimits().drainGrace() + log.slack()) {
      recordViolation(
          line.worker()
              + " received "
              + line.event().word()
              + " from router "
              + line.router()
              + " "
              + sendDelay / MICROS_PER_MILLI
              + " ms after the router was notified that the worker is draining or gone, "
              + fleetLine(line.lineNumber()));
    }
  }

  private void readNotificationsUntil(long time) {
    while (nextListLine < log.listLines().size()
        && log.listLines().get(nextListLine).time() <= time) {
      readNotification(log.listLines().get(nextListLine));
      nextListLine++;
    }
  }

  private void readNotification(LogLine line) {
    if (!line.hasEvent(ScenarioEvent.ROUTER_NOTIFIED)) {
      return;
    }
    if (line.text("state").equals(EndpointState.READY.word())) {
      notificationTimes.remove(routerAndWorker(line));
    } else if (notificationTimes.putIfAbsent(routerAndWorker(line), line.time()) == null) {
      notificationCount++;
    }
  }

  private static String routerAndWorker(LogLine line) {
    return line.router() + " " + line.worker();
  }

  @Override
  String summary() {
    String maxSendDelayText =
        maxSendDelay < 0 ? "none" : maxSendDelay / (double) MICROS_PER_MILLI + " ms";
    return notificationCount
        + " drain notifications; latest send after one: "
        + maxSendDelayText
        + ", grace period "
        + log.settings().invariantLimits().drainGrace() / MICROS_PER_MILLI
        + " ms";
  }
}
