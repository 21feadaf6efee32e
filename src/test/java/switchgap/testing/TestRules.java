package switchgap.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import switchgap.router.RouterEvents;
import switchgap.router.RuleChecker;
import switchgap.server.platform.TestPlatformSettings;

/** A rule checker for parts that are tested by themselves. */
public final class TestRules {
  private TestRules() {}

  /** A checker under the platform's test settings, whose events are only counted. */
  public static RuleChecker checker() {
    try {
      return new RuleChecker(TestPlatformSettings.terms(), new RouterEvents(line -> {}, null));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
