package switchgap.testbed.scenario;

import java.util.List;
import java.util.stream.Stream;

/** What a request class allows to be repeated, and the word for it in a scenario. */
enum RepeatRule {
  /** May run any number of times. */
  RESTARTABLE("restartable"),
  /** Repeats are recognized by an idempotency key. */
  IDEMPOTENT("fingerprinted"),
  /** Must take effect once at most. */
  RUN_ONCE("run-once");

  private final String word;

  RepeatRule(String word) {
    this.word = word;
  }

  static List<String> words() {
    return Stream.of(values()).map(rule -> rule.word).toList();
  }

  static RepeatRule of(String word) {
    return Stream.of(values())
        .filter(rule -> rule.word.equals(word))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no repeat rule: " + word));
  }
}
