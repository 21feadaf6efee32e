package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static switchgap.protocol.resp.RespTestStrings.bytes;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/** The interpretation of a reply's status and load report. */
class WorkerReplyTest {
  private static WorkerReply reply(String status, String fields) throws MalformedReplyException {
    return WorkerReply.parse(new byte[][] {bytes("id"), bytes(status), bytes(fields), {}});
  }

  @ParameterizedTest
  @CsvSource({
    "data,SUCCEEDED,false",
    "absent,NOT_LOADED,true",
    "full,REJECTED,true",
    "moot,NOT_SENT,true",
    "failed,FAILED,false",
    "well,SUCCEEDED,false",
    "ill,FAILED,false"
  })
  void statusDeterminesOutcomeAndWhetherRequestWasExecuted(
      String status, AttemptOutcome outcome, boolean neverExecuted) throws Exception {
    assertThat(reply(status, "-").outcome()).isEqualTo(outcome);
    assertThat(outcome.neverExecuted()).isEqualTo(neverExecuted);
    assertThat(reply("page", "-").outcome()).isNull();
  }

  /**
   * Guards against ignoring load reports: workers may use the metric names of the platform's
   * settings instead of those of the protocol specification, and the policy would then receive no
   * load at all.
   */
  @Test
  void readsLoadReportWithEitherNameOfEachMetric() throws Exception {
    assertThat(reply("data", "crowd=2,report=load_share:0.61;concurrent:7.5").loadReport(true))
        .isEqualTo(new LoadReport(0.61, 7.5, Double.NaN, 2));
    assertThat(reply("full", "report=util:0.5;inflight:3;queue:1").loadReport(true))
        .isEqualTo(new LoadReport(0.5, 3, 1, 0));
    assertThat(reply("absent", "-").loadReport(true)).isEqualTo(LoadReport.NONE);
    assertThat(reply("data", "report=util:NaN;inflight:-4;queue:1e99").loadReport(false))
        .isEqualTo(LoadReport.NONE);
    assertThatThrownBy(() -> reply("data", "noise")).isInstanceOf(MalformedReplyException.class);
    assertThatThrownBy(() -> WorkerReply.parse(new byte[][] {{}, {}}))
        .isInstanceOf(MalformedReplyException.class);
  }
}
