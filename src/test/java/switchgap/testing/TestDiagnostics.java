package switchgap.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import switchgap.router.RouterDiagnostics;
import switchgap.server.platform.TestPlatformSettings;

/** Creates diagnostics for unit tests. */
public final class TestDiagnostics {
  private TestDiagnostics() {}

  /** Creates diagnostics with the platform's test settings, without a trace. */
  public static RouterDiagnostics create() {
    try {
      return RouterDiagnostics.of(TestPlatformSettings.routerSettings(), line -> {}, null);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
