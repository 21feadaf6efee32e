package switchgap.protocol.resp;

import java.time.Duration;

/** Connection limits that are small enough to be reached in a test. */
final class RespTestLimits {
  static final RespConnectionLimits SMALL =
      new RespConnectionLimits(4, 2, 10, 2, Duration.ofSeconds(5), Duration.ofSeconds(30));

  private RespTestLimits() {}
}
