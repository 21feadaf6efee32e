package switchgap.protocol.invoke;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.admission.ServiceLevel;

/** Checks the JSON form of problem details: names, values and order of the members. */
class ProblemDetailsTest {
  private static String json(ProblemDetails problem) {
    return new String(problem.toJson(), StandardCharsets.UTF_8);
  }

  @Test
  void malformedRequestHasNoOutcome() {
    ProblemDetails problem = new ProblemDetails(ProblemType.UNKNOWN_FUNCTION, "no such function");

    assertThat(json(problem))
        .isEqualTo(
            "{\"type\":\"urn:switchgap:problem:unknown-function\",\"title\":\"unknown function\","
                + "\"status\":404,\"detail\":\"no such function\"}");
  }

  @Test
  void notAcceptedRequestEndsAsRejected() {
    assertThat(json(ProblemDetails.pendingLimitReached(7)))
        .isEqualTo(
            "{\"type\":\"urn:switchgap:problem:not-taken\",\"title\":\"not taken\","
                + "\"status\":503,\"detail\":\"the router holds 7 calls already\","
                + "\"end\":\"pushed-back\",\"repeat_harmless\":true}");
  }

  @Test
  void rejectionNamesServiceLevelAndRetryAfter() {
    ProblemOutcome outcome = ProblemOutcome.rejected(ServiceLevel.LEAST, Duration.ofMillis(1500));
    ProblemDetails problem = new ProblemDetails(ProblemType.REJECTED, "retry", outcome);

    assertThat(json(problem))
        .isEqualTo(
            "{\"type\":\"urn:switchgap:problem:pushed-back\",\"title\":\"pushed back\","
                + "\"status\":503,\"detail\":\"retry\",\"end\":\"pushed-back\","
                + "\"repeat_harmless\":true,\"level\":\"least\",\"come_back_ms\":1500}");
  }

  @Test
  void failureReportsThatARetryIsNotSafe() {
    ProblemDetails problem =
        new ProblemDetails(ProblemType.FAILED, "unknown", ProblemOutcome.failed());

    assertThat(json(problem))
        .isEqualTo(
            "{\"type\":\"urn:switchgap:problem:killed\",\"title\":\"killed\",\"status\":504,"
                + "\"detail\":\"unknown\",\"end\":\"killed\",\"repeat_harmless\":false}");
  }
}
