package switchgap.policy;

import java.util.SplittableRandom;
import switchgap.policy.api.AttemptOutcome;

/** Random outcomes of attempts and of load commands. */
final class RandomOutcomes {
  /** Outcomes to draw from uniformly; an outcome that is listed more often is more likely. */
  private static final AttemptOutcome[] ATTEMPT_OUTCOMES = {
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.FAILED,
    AttemptOutcome.REJECTED,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.NOT_LOADED,
    AttemptOutcome.NOT_LOADED
  };

  private RandomOutcomes() {}

  static AttemptOutcome nextForAttempt(SplittableRandom random) {
    return ATTEMPT_OUTCOMES[random.nextInt(ATTEMPT_OUTCOMES.length)];
  }

  static AttemptOutcome nextForCommand(SplittableRandom random) {
    if (random.nextInt(3) > 0) {
      return AttemptOutcome.SUCCEEDED;
    }
    return random.nextBoolean() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CONNECTION_LOST;
  }
}
