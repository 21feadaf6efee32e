package switchgap.testbed.scenario;

import java.util.HashMap;
import java.util.Map;
import switchgap.testbed.emulator.EndpointState;
import switchgap.testbed.invariant.Invariant;

/**
 * A router sends nothing new to a worker past the grace after the list told it that the worker
 * drains or is gone.
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
      if (line.is("infer") || line.is("load")) {
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
          line.text("worker")
              + " got "
              + line.kind()
              + " from router "
              + line.integer("router")
              + " "
              + delay / MICROS_PER_MILLI
              + " ms after it was told, "
              + fleetLine(line.number()));
    }
  }

  private void readListUntil(long at) {
    while (nextListLine < log.listLines().size() && log.listLines().get(nextListLine).at() <= at) {
      readNotification(log.listLines().get(nextListLine));
      nextListLine++;
    }
  }

  private void readNotification(LogLine line) {
    if (!line.is("told")) {
      return;
    }
    if (line.text("state").equals(EndpointState.READY.word())) {
      notifiedAt.remove(key(line));
    } else if (notifiedAt.putIfAbsent(key(line), line.at()) == null) {
      drains++;
    }
  }

  private static String key(LogLine line) {
    return line.integer("router") + " " + line.text("worker");
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
