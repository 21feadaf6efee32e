package switchgap.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import switchgap.policy.state.Function;
import switchgap.policy.state.PolicyState;

/**
 * Makes room at the limit of functions. Functions that were never loaded are released first, as
 * they may not exist: clients that request many such functions must not displace the functions that
 * others use.
 */
final class FunctionEviction {
  /** Share of the candidates to release at a time. */
  private static final double RELEASED_SHARE = 1 / 16.;

  private final PolicyState state;

  /** Earliest time of the next attempt, if the last one found no idle function. */
  private Duration nextAttempt = Duration.ZERO;

  FunctionEviction(PolicyState state) {
    this.state = state;
  }

  /**
   * Releases the least recently requested idle functions; only those that were never loaded, if
   * there are any.
   */
  void functionLimitReached() {
    if (!state.hasPassed(nextAttempt)) {
      return;
    }
    List<Function> candidates = idleFunctions(false);
    if (candidates.isEmpty()) {
      candidates = idleFunctions(true);
    }
    if (candidates.isEmpty()) {
      nextAttempt = state.now().plus(state.settings.tickInterval);
      return;
    }
    candidates.sort(Comparator.comparing(Function::lastRequest));
    int released = (int) Math.ceil(candidates.size() * RELEASED_SHARE);
    candidates.subList(0, released).forEach(state::release);
  }

  private List<Function> idleFunctions(boolean everLoaded) {
    List<Function> idle = new ArrayList<>();
    for (Function function : state.functions) {
      if (function.isIdle() && function.everLoaded() == everLoaded) {
        idle.add(function);
      }
    }
    return idle;
  }
}
