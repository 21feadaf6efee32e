package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The attempts of all clients. Joins the lines of the clients' log by attempt. Times are in
 * microseconds.
 */
final class ObservedAttempts {
  /**
   * A response that a client received later than the deadline plus the slack.
   *
   * @param attemptId id of the attempt
   * @param delay time from the deadline to the response
   * @param lineNumber line number in the clients' log
   */
  record LateResponse(String attemptId, long delay, int lineNumber) {}

  private final long slack;
  private final Map<String, ObservedAttempt> attempts = new LinkedHashMap<>();
  private final List<List<Long>> sendTimesByRouter = new ArrayList<>();
  private final Map<String, Integer> outcomeCounts = new TreeMap<>();
  private final List<LateResponse> lateResponses = new ArrayList<>();
  private int responsesWithinSlackCount;

  /**
   * Reads the clients' log.
   *
   * @param routers number of routers
   * @param slack delay past the deadline up to which a response is treated as in time
   * @param clientLines lines of the clients' log
   */
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
      default -> { // Other events belong to no attempt.
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

  /** The attempt whose id a line states, null if the clients' log does not contain it. */
  ObservedAttempt find(LogLine line) {
    return attempts.get(line.attemptId());
  }

  /** All attempts, in the order in which clients sent them. */
  Collection<ObservedAttempt> all() {
    return attempts.values();
  }

  /** Times at which clients sent attempts to a router, in ascending order. */
  List<Long> sendTimes(int router) {
    return sendTimesByRouter.get(router);
  }

  /** Number of attempts by the name of their outcome in the logs. */
  Map<String, Integer> outcomeCounts() {
    return outcomeCounts;
  }

  /** Responses that arrived later than the deadline plus the slack. */
  List<LateResponse> lateResponses() {
    return lateResponses;
  }

  /** Number of responses that arrived after the deadline but within the slack. */
  int responsesWithinSlackCount() {
    return responsesWithinSlackCount;
  }
}
