package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import switchgap.router.PendingRequest;
import switchgap.server.platform.ThriftTestClient;

/** The client protocol against Apache Thrift's own codec, and against everything that is no message. */
class ThriftMessageTest {
    static final Map<String,
        String> FIELDS = Map.of("service", "again", "ref", "9b1f03aa5c7e2d41", "allow", "900", "project",
            "shop",
            "lookup", "7f3a9c21e0b4d655", "effort", "8.2", "extras", "memory_mb:512;lanes:2;colour:3");

    private static byte[] submit(Map<String, String> fields, byte[] body, int number) throws Exception {
        TMemoryBuffer m = new TMemoryBuffer(256);
        TBinaryProtocol p = new TBinaryProtocol(m);
        ThriftTestClient.arguments(p, number, fields, body);
        p.writeFieldBegin(new TField("later", TType.LIST, (short) 9)); // a field of a later version is passed over
        p.writeListBegin(new org.apache.thrift.protocol.TList(TType.I32, 2));
        p.writeI32(1);
        p.writeI32(2);
        p.writeFieldStop();
        return Arrays.copyOf(m.getArray(), m.length());
    }

    private static TProtocol reply(byte[] whole) throws Exception {
        assertThat(ByteBuffer.wrap(whole).getInt()).isEqualTo(whole.length - 4);
        TMemoryBuffer m = new TMemoryBuffer(whole.length);
        m.write(whole, 4, whole.length - 4);
        return new TBinaryProtocol(m, true, true);
    }

    @Test void readsWhatThriftWrites() throws Exception {
        ThriftMessage m = ThriftMessage.read(submit(FIELDS, new byte[] {0, 1, 2}, 7));
        assertThat(m.method()).isEqualTo("submit");
        assertThat(m.number()).isEqualTo(7);
        assertThat(m.fields()).isEqualTo(FIELDS);
        assertThat(m.body()).containsExactly(0, 1, 2);
    }

    @Test void thriftReadsTheAnswer() throws Exception {
        TProtocol p = reply(ThriftResponseEncoder.answer("submit", 9, new byte[] {5, 6}, true));
        TMessage head = p.readMessageBegin();
        assertThat(head.type).isEqualTo((byte) 2);
        assertThat(head.seqid).isEqualTo(9);
        assertThat(p.readFieldBegin().id).isEqualTo((short) 0);
        assertThat(p.readFieldBegin().id).isEqualTo((short) 1);
        assertThat(p.readBinary().remaining()).isEqualTo(2);
        assertThat(p.readFieldBegin().id).isEqualTo((short) 2);
        assertThat(p.readMapBegin().size).isZero();
        assertThat(p.readFieldBegin().id).isEqualTo((short) 3);
        assertThat(p.readBool()).isTrue();
        assertThat(p.readFieldBegin().type).isEqualTo(TType.STOP);
        assertThat(p.readFieldBegin().type).isEqualTo(TType.STOP);
    }

    @Test void thriftReadsRefusalsAndApplicationExceptions() throws Exception {
        TProtocol p = reply(ThriftResponseEncoder.declared("submit", 3, 1, Map.of("cooldown", "250")));
        assertThat(p.readMessageBegin().seqid).isEqualTo(3);
        assertThat(p.readFieldBegin().id).isEqualTo((short) 1);
        assertThat(p.readFieldBegin().id).isEqualTo((short) 1);
        assertThat(p.readMapBegin().size).isEqualTo(1);
        assertThat(p.readString() + p.readString()).isEqualTo("cooldown250");
        TProtocol x = reply(ThriftResponseEncoder.unknownMethod("nothing", 4));
        assertThat(x.readMessageBegin().type).isEqualTo((byte) 3);
        assertThat(TApplicationException.readFrom(x).getType()).isEqualTo(
            TApplicationException.UNKNOWN_METHOD);
    }

    @Test void eachCutAndEachByteMoreIsUnreadable() throws Exception {
        byte[] whole = submit(FIELDS, new byte[40], 1);
        for (int n = 0; n < whole.length; n++) {
            byte[] cut = Arrays.copyOf(whole, n);
            assertThatThrownBy(() -> ThriftMessage.read(cut)).as("cut at %d", n).isInstanceOf(
                ThriftMessage.MalformedMessageException.class);
        }
        assertThatThrownBy(() -> ThriftMessage.read(Arrays.copyOf(whole, whole.length + 1))).isInstanceOf(
            ThriftMessage.MalformedMessageException.class);
    }

    /** Also every byte of a good message changed: it is read or refused, never anything else. */
    @Property(tries = 2000, seed = "41") void noBytesDoMoreThanBeUnreadable(
        @ForAll @Size(max = 200) byte[] noise, @ForAll int at) throws Exception {
        byte[] changed = submit(FIELDS, new byte[4], 1);
        for (int i = 0; i < noise.length; i++) {
            changed[Math.floorMod(at + 7 * i, changed.length)] = noise[i];
        }
        for (byte[] b : new byte[][] {noise, changed}) {
            try {
                ThriftMessage m = ThriftMessage.read(b);
                assertThat(m.method()).isNotNull();
            } catch (ThriftMessage.MalformedMessageException x) {
                assertThat(x.getMessage()).isNotEmpty();
            }
        }
    }

    private static PendingRequest call(String field, String value) throws Exception {
        Map<String, String> fields = new HashMap<>(FIELDS);
        if (value == null) {
            fields.remove(field);
        } else {
            fields.put(field, value);
        }
        var book = new SubmitRequestDecoder.NameDirectory(
            switchgap.server.platform.TestPlatformSettings.terms(), Map.of("again", 0, "once", 1),
            Map.of("shop", 0));
        return SubmitRequestDecoder.read(ThriftMessage.read(submit(fields, new byte[0], 1)), book,
            Duration.ofSeconds(1), null);
    }

    @Test void fieldsBecomeACall() throws Exception {
        PendingRequest c = call("effort", "8.2");
        assertThat(c.deadline).isEqualTo(Duration.ofMillis(1900));
        assertThat(c.durationHint).isEqualTo(Duration.ofNanos(8_200_000));
        assertThat(c.memoryMb).isEqualTo(512);
        assertThat(c.slots).isEqualTo(2);
        assertThat(call("effort", null).durationHint).isNull();
    }

    @ParameterizedTest
    @CsvSource(nullValues = "null", value = {"service,null", "service,other", "ref,null", "ref,12",
        "ref,9b1f03aa5c7e2d4g", "allow,null",
        "allow,0", "allow,-5", "allow,NaN", "allow,1e300", "allow,2001", "allow,Infinity", "allow,0x1p3",
        "project,null", "project,nobody",
        "lookup,null", "lookup,7f3a9c21e0b4d65500", "effort,-1", "effort,many", "effort,1e99",
        "extras,memory_mb", "extras,lanes:1e9",
        "extras,memory_mb:-3"}) void whatCannotBeUsedIsNamed(String field, String value) {
        assertThatThrownBy(() -> call(field, value)).isInstanceOf(
            SubmitRequestDecoder.InvalidRequestException.class).hasMessage(field);
    }
}
