package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/**
 * The workers' protocol: split at every byte, at and past each bound, and what each status proves.
 */
class RespDecoderTest {
  private static final int MAX_STRING_BYTES = 64;

  private static List<String> decode(byte[] bytes, int split)
      throws RespDecoder.MalformedReplyException {
    RespDecoder decoder = new RespDecoder(MAX_STRING_BYTES);
    List<String> strings = new ArrayList<>();
    RespDecoder.ArrayHandler handler =
        parts -> {
          for (byte[] part : parts) {
            strings.add(new String(part, StandardCharsets.ISO_8859_1));
          }
        };
    decoder.decode(ByteBuffer.wrap(bytes, 0, split), handler);
    decoder.decode(ByteBuffer.wrap(bytes, split, bytes.length - split), handler);
    return strings;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  @Test
  void arraysSplitAtAnyByteAreDecodedAlike() throws Exception {
    byte[] twoArrays =
        bytes("*4\r\n$2\r\nid\r\n$4\r\ndata\r\n$1\r\n-\r\n$6\r\n\r\n$3\r\n\r\n*1\r\n$0\r\n\r\n");
    for (int i = 0; i <= twoArrays.length; i++) {
      assertThat(decode(twoArrays, i))
          .as("split at %d", i)
          .containsExactly("id", "data", "-", "\r\n$3\r\n", "");
    }
  }

  @Test
  void anEncodedCommandIsDecodedToItsWords() throws Exception {
    assertThat(decode(RespCommandEncoder.encodeWithBody(bytes("b\r\n"), "DO", "id", "-"), 5))
        .containsExactly("DO", "id", "-", "b\r\n");
    assertThat(decode(RespCommandEncoder.encode("UNDO", "id"), 0)).containsExactly("UNDO", "id");
  }

  @Test
  void eachCommandHasItsWordsOnTheWire() throws Exception {
    assertThat(decode(RespCommand.execute("id", "batch", "f", 250, bytes("b")), 0))
        .containsExactly("DO", "id", "profile=batch,thing=f,max=250", "b");
    assertThat(decode(RespCommand.cancel("id"), 0)).containsExactly("UNDO", "id");
    assertThat(decode(RespCommand.load("t1", "f", 2), 0))
        .containsExactly("PIN", "t1", "thing=f,count=2");
    assertThat(decode(RespCommand.unload("f"), 0)).containsExactly("UNPIN", "f");
    assertThat(decode(RespCommand.reportLoad("t1"), 0)).containsExactly("METER", "t1");
  }

  @Test
  void aStringAtTheBoundIsDecodedAndOneByteMoreIsNot() throws Exception {
    assertThat(decode(bytes("*1\r\n$64\r\n" + "x".repeat(64) + "\r\n"), 3)).hasSize(1);
    assertThatThrownBy(() -> decode(bytes("*1\r\n$65\r\n"), 3))
        .isInstanceOf(RespDecoder.MalformedReplyException.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "+OK\r\n",
        "*0\r\n",
        "*9\r\n",
        "*-1\r\n",
        "*1\r\n:3\r\n",
        "*1\r\n$3000000000\r\n",
        "*1\n",
        "*\r\n",
        "*1\r\n$2\r\nabc",
        "*1\r\n$2\r\nab\rx",
        "*111111111",
        "noise",
        "*1\r\n$-1\r\n"
      })
  void anythingElseIsMalformed(String text) {
    assertThatThrownBy(() -> decode(bytes(text), 0))
        .isInstanceOf(RespDecoder.MalformedReplyException.class);
  }

  @Property(tries = 1000, seed = "42")
  void randomBytesAreDecodedOrMalformed(@ForAll @Size(max = 100) byte[] noise) {
    try {
      assertThat(decode(noise, noise.length / 2)).hasSizeLessThanOrEqualTo(noise.length);
    } catch (RespDecoder.MalformedReplyException e) {
      assertThat(e.getMessage()).isNotEmpty();
    }
  }

  private static WorkerReply reply(String status, String fields)
      throws RespDecoder.MalformedReplyException {
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
  void eachStatusProvesWhetherTheRequestWasExecuted(
      String status, AttemptOutcome outcome, boolean neverExecuted) throws Exception {
    assertThat(reply(status, "-").outcome()).isEqualTo(outcome);
    assertThat(outcome.neverExecuted()).isEqualTo(neverExecuted);
    assertThat(reply("page", "-").outcome()).isNull();
  }

  /**
   * Seen in a scenario without faults: reports bear the words of the settings, not those of the
   * protocol's description, and the policy was told of no load at all.
   */
  @Test
  void loadReportsAreReadByEitherWord() throws Exception {
    assertThat(reply("data", "crowd=2,report=load_share:0.61;concurrent:7.5").loadReport(true))
        .isEqualTo(new LoadReport(0.61, 7.5, Double.NaN, 2));
    assertThat(reply("full", "report=util:0.5;inflight:3;queue:1").loadReport(true))
        .isEqualTo(new LoadReport(0.5, 3, 1, 0));
    assertThat(reply("absent", "-").loadReport(true)).isEqualTo(LoadReport.NONE);
    assertThat(reply("data", "report=util:NaN;inflight:-4;queue:1e99").loadReport(false))
        .isEqualTo(LoadReport.NONE);
    assertThatThrownBy(() -> reply("data", "noise"))
        .isInstanceOf(RespDecoder.MalformedReplyException.class);
    assertThatThrownBy(() -> WorkerReply.parse(new byte[][] {{}, {}}))
        .isInstanceOf(RespDecoder.MalformedReplyException.class);
  }
}
