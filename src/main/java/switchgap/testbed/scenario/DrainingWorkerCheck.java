package switchgap.testbed.scenario;

import java.util.HashMap;
import java.util.Map;
import switchgap.testbed.emulator.EndpointState;
import switchgap.testbed.invariant.Invariant;

/**
 * A router sends nothing new to a worker once the grace period has passed since the endpoint list
 * notified it that the worker is draining or gone.
 */
final class DrainingWorkerCheck extends InvariantCheck {
  private static final long NONE = -1;

  private final Map<String, Long> notifiedAt = new HashMap<>();
  private int nextListLine;
  private int drains;
  private long latestSend = NONE;

  DrainingWorkerCheck(ScenarioLog log) {
    super(Invariant.NO_SEND_TO_DRAINING_WORKER, log);
  }

  @Override
  void check() {
    for (LogLine line : log.fleetLines()) {
      if (line.is(ScenarioEvent.REQUEST_RECEIVED) || line.is(ScenarioEvent.LOAD_RECEIVED)) {
        readListUntil(line.at());
        checkSend(line);
      }
    }
    readListUntil(Long.MAX_VALUE);
  }

  private void checkSend(LogLine line) {
    Long since = notifiedAt.get(key(line));
    if (since == null) {
      return;
    }
    long delay = line.at() - since;
    latestSend = Math.max(latestSend, delay);
    if (delay > log.settings().limits().drainGrace() + log.slack()) {
      violated(
          line.worker()
              + " got "
              + line.event().word()
              + " from router "
              + line.router()
              + " "
              + delay / MICROS_PER_MILLI
              + " ms after it was told, "
              + fleetLine(line.number()));
    }
  }

  private void readListUntil(long time) {
    while (nextListLine < log.listLines().size()
        && log.listLines().get(nextListLine).at() <= time) {
      readNotification(log.listLines().get(nextListLine));
      nextListLine++;
    }
  }

  private void readNotification(LogLine line) {
    if (!line.is(ScenarioEvent.ROUTER_NOTIFIED)) {
      return;
    }
    if (line.text("state").equals(EndpointState.READY.word())) {
      notifiedAt.remove(key(line));
    } else if (notifiedAt.putIfAbsent(key(line), line.at()) == null) {
      drains++;
    }
  }

  private static String key(LogLine line) {
    return line.router() + " " + line.worker();
  }

  @Override
  String summary() {
    String latest = latestSend < 0 ? "none" : latestSend / (double) MICROS_PER_MILLI + " ms";
    return drains
        + " drains told; latest send after one "
        + latest
        + ", grace "
        + log.settings().limits().drainGrace() / MICROS_PER_MILLI
        + " ms";
  }
}
