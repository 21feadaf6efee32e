package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid configurations with which a router cannot start. */
class PlatformConfigTest extends PlatformFixture {
  @ParameterizedTest
  @ValueSource(strings = {"settings", "known", "feed", "seed", "limits", "Lanes", "Zones"})
  void errorNamesMissingKey(String key) throws Exception {
    Map<String, String> environment =
        environment(configJson(256).replace("\"" + key + "\":", "\"not" + key + "\":"));
    assertThatThrownBy(
            () -> {
              PlatformConfig config = PlatformConfig.read(environment, 0);
              new PlatformRouter(config, new RateLimitedLog()).close();
            })
        .hasMessageContaining(key);
  }

  @Test
  void errorNamesMissingVariableOrUnreadableFile() throws Exception {
    assertThatThrownBy(() -> PlatformConfig.read(Map.of(), 0)).hasMessageContaining("NODE_CONFIG");
    assertThatThrownBy(() -> PlatformConfig.read(Map.of("NODE_CONFIG", directory + "/none"), 0))
        .hasMessageContaining("none: no such file");
    assertThatThrownBy(() -> PlatformConfig.read(environment("{"), 0))
        .hasMessageContaining("config.json");
  }
}
