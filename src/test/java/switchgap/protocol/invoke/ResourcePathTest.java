package switchgap.protocol.invoke;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.protocol.invoke.ResourcePath.Resource;

/** Checks which resource each path addresses. */
class ResourcePathTest {
  @Test
  void parsesInvocationOfAFunction() {
    assertThat(ResourcePath.parse("/v1/functions/resize/invoke"))
        .isEqualTo(new ResourcePath(Resource.FUNCTION_INVOCATION, "resize"));
  }

  @Test
  void parsesThePathOfADeferredRequest() {
    assertThat(ResourcePath.parse(ResourcePath.ofDeferredRequest("r0-d1")))
        .isEqualTo(new ResourcePath(Resource.DEFERRED_REQUEST, "r0-d1"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/",
        "/healthz",
        "/v1/functions/resize",
        "/v1/functions/resize/invoke/",
        "/v1/functions/resize/other",
        "/v2/functions/resize/invoke",
        "/v1/calls",
        "/v1/calls/r0-d1/",
        "/v1/other/r0-d1"
      })
  void otherPathsAddressNoInvocationAndNoDeferredRequest(String path) {
    assertThat(ResourcePath.parse(path).resource()).isEqualTo(Resource.OTHER);
  }
}
