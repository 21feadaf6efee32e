package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The attempts of all clients, joined from the lines of the clients' log. Times in microseconds.
 */
final class ObservedAttempts {
  /**
   * A response that a client saw after the deadline and the slack.
   *
   * @param attemptId the attempt
   * @param delay how long after the deadline
   * @param lineNumber number of the line of the clients' log
   */
  record LateResponse(String attemptId, long delay, int lineNumber) {}

  private final long slack;
  private final Map<String, ObservedAttempt> attempts = new LinkedHashMap<>();
  private final List<List<Long>> sendTimesByRouter = new ArrayList<>();
  private final Map<String, Integer> outcomeCounts = new TreeMap<>();
  private final List<LateResponse> lateResponses = new ArrayList<>();
  private int responsesWithinSlackCount;

  /** Reads the clients' log; a response that is later than the deadline by the slack is in time. */
  ObservedAttempts(int routers, long slack, List<LogLine> clientLines) {
    this.slack = slack;
    for (int i = 0; i < routers; i++) {
      sendTimesByRouter.add(new ArrayList<>());
    }
    clientLines.forEach(this::read);
  }

  private void read(LogLine line) {
    switch (line.event()) {
      case ATTEMPT_SENT -> readAttempt(line);
      case ENDED -> readEnd(line);
      case LATE_RESPONSE -> readLateResponse(line);
      default -> { // the end of the log
      }
    }
  }

  private void readAttempt(LogLine line) {
    ObservedAttempt attempt = new ObservedAttempt(line);
    attempts.put(attempt.id(), attempt);
    sendTimesByRouter.get(attempt.router()).add(attempt.sentAt());
  }

  private void readEnd(LogLine line) {
    outcomeCounts.merge(line.outcomeWord(), 1, Integer::sum);
    ObservedAttempt attempt = find(line);
    if (attempt != null) {
      attempt.recordEnd(line);
    }
  }

  private void readLateResponse(LogLine line) {
    ObservedAttempt attempt = find(line);
    if (attempt == null) {
      return;
    }
    attempt.countLateResponse();
    long delay = line.time() - attempt.deadline();
    if (delay <= slack) {
      responsesWithinSlackCount++;
      attempt.acceptLateResponse(line);
    } else {
      lateResponses.add(new LateResponse(attempt.id(), delay, line.lineNumber()));
    }
  }

  /** The attempt that a line names, null where the clients' log has none. */
  ObservedAttempt find(LogLine line) {
    return attempts.get(line.attemptId());
  }

  /** All attempts in order of sending. */
  Collection<ObservedAttempt> all() {
    return attempts.values();
  }

  /** Times at which clients sent attempts to a router, in order. */
  List<Long> sendTimes(int router) {
    return sendTimesByRouter.get(router);
  }

  /** Number of attempts by the log's word for how they ended. */
  Map<String, Integer> outcomeCounts() {
    return outcomeCounts;
  }

  /** Responses after the deadline and the slack. */
  List<LateResponse> lateResponses() {
    return lateResponses;
  }

  /** Number of responses after the deadline and within the slack. */
  int responsesWithinSlackCount() {
    return responsesWithinSlackCount;
  }
}
