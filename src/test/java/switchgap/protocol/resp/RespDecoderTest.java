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

/** The workers' protocol: split at every byte, at and past each bound, and what each word proves. */
class RespDecoderTest {
    private static final int MOST = 64;

    private static List<String> read(byte[] bytes, int split) throws RespDecoder.MalformedReplyException {
        RespDecoder r = new RespDecoder(MOST);
        List<String> all = new ArrayList<>();
        RespDecoder.ArrayHandler whole = parts -> {
            for (byte[] p : parts) { all.add(new String(p, StandardCharsets.ISO_8859_1)); }
        };
        r.take(ByteBuffer.wrap(bytes, 0, split), whole);
        r.take(ByteBuffer.wrap(bytes, split, bytes.length - split), whole);
        return all;
    }

    private static byte[] bytes(String s) { return s.getBytes(StandardCharsets.ISO_8859_1); }

    @Test void splitAnywhereItReadsTheSame() throws Exception {
        byte[] two = bytes("*4\r\n$2\r\nid\r\n$4\r\ndata\r\n$1\r\n-\r\n$6\r\n\r\n$3\r\n\r\n*1\r\n$0\r\n\r\n");
        for (int i = 0; i <= two.length; i++) {
            assertThat(read(two, i)).as("split at %d", i).containsExactly("id", "data", "-", "\r\n$3\r\n",
                "");
        }
    }

    @Test void aCommandIsReadAsItWasMeant() throws Exception {
        assertThat(read(RespCommandEncoder.with(bytes("b\r\n"), "DO", "id", "-"), 5)).containsExactly("DO",
            "id", "-", "b\r\n");
        assertThat(read(RespCommandEncoder.of("UNDO", "id"), 0)).containsExactly("UNDO", "id");
    }

    @Test void aStringAtTheBoundIsReadAndOneByteMoreIsNot() throws Exception {
        assertThat(read(bytes("*1\r\n$64\r\n" + "x".repeat(64) + "\r\n"), 3)).hasSize(1);
        assertThatThrownBy(() -> read(bytes("*1\r\n$65\r\n"), 3)).isInstanceOf(
            RespDecoder.MalformedReplyException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"+OK\r\n", "*0\r\n", "*9\r\n", "*-1\r\n", "*1\r\n:3\r\n", "*1\r\n$3000000000\r\n",
        "*1\n", "*\r\n",
        "*1\r\n$2\r\nabc", "*1\r\n$2\r\nab\rx", "*111111111", "noise",
        "*1\r\n$-1\r\n"}) void anythingElseIsUnreadable(String s) {
        assertThatThrownBy(() -> read(bytes(s), 0)).isInstanceOf(RespDecoder.MalformedReplyException.class);
    }

    @Property(tries = 1000, seed = "42") void noBytesDoMoreThanBeUnreadable(
        @ForAll @Size(max = 100) byte[] noise) {
        try {
            assertThat(read(noise, noise.length / 2)).hasSizeLessThanOrEqualTo(noise.length);
        } catch (RespDecoder.MalformedReplyException x) {
            assertThat(x.getMessage()).isNotEmpty();
        }
    }

    private static WorkerReply reply(String word, String fields) throws RespDecoder.MalformedReplyException {
        return WorkerReply.of(new byte[][] {bytes("id"), bytes(word), bytes(fields), {}});
    }

    @ParameterizedTest
    @CsvSource({"data,SUCCEEDED,false", "absent,NOT_LOADED,true", "full,REJECTED,true", "moot,NOT_SENT,true",
        "failed,FAILED,false",
        "well,SUCCEEDED,false", "ill,FAILED,false"}) void whatEachWordProves(String word, AttemptOutcome end,
            boolean neverRan) throws Exception {
        assertThat(reply(word, "-").end()).isEqualTo(end);
        assertThat(end.neverExecuted()).isEqualTo(neverRan);
        assertThat(reply("page", "-").end()).isNull();
    }

    /** Seen on a calm day: reports bear the settings' words, not the page's, and the module was told of no load at all. */
    @Test void loadsAreReadByEitherWord() throws Exception {
        assertThat(reply("data", "crowd=2,report=load_share:0.61;concurrent:7.5").loads(true)).isEqualTo(
            new LoadReport(0.61, 7.5, Double.NaN, 2));
        assertThat(reply("full", "report=util:0.5;inflight:3;queue:1").loads(true)).isEqualTo(
            new LoadReport(0.5, 3, 1, 0));
        assertThat(reply("absent", "-").loads(true)).isEqualTo(LoadReport.NONE);
        assertThat(reply("data", "report=util:NaN;inflight:-4;queue:1e99").loads(false)).isEqualTo(
            LoadReport.NONE);
        assertThatThrownBy(() -> reply("data", "noise")).isInstanceOf(
            RespDecoder.MalformedReplyException.class);
        assertThatThrownBy(() -> WorkerReply.of(new byte[][] {{}, {}})).isInstanceOf(
            RespDecoder.MalformedReplyException.class);
    }
}
