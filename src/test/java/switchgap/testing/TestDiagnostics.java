package switchgap.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import switchgap.router.RouterDiagnostics;
import switchgap.server.platform.TestPlatformSettings;

/** Diagnostics for parts that are tested by themselves. */
public final class TestDiagnostics {
  private TestDiagnostics() {}

  /** Diagnostics under the platform's test settings; events are only counted. */
  public static RouterDiagnostics create() {
    try {
      return RouterDiagnostics.of(TestPlatformSettings.routerSettings(), line -> {}, null);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
