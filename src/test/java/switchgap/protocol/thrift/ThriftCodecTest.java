package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.Test;

/** Tests the codec against Apache Thrift's codec, and with bytes that are not a message. */
class ThriftCodecTest {
  private static TProtocol readerOf(byte[] framedReply) throws Exception {
    assertThat(ByteBuffer.wrap(framedReply).getInt()).isEqualTo(framedReply.length - 4);
    TMemoryBuffer buffer = new TMemoryBuffer(framedReply.length);
    buffer.write(framedReply, 4, framedReply.length - 4);
    return new TBinaryProtocol(buffer, true, true);
  }

  @Test
  void decodesMessageWrittenByThriftLibrary() throws Exception {
    ThriftMessage message =
        ThriftMessageDecoder.decode(
            ThriftTestFrames.submitFrame(ThriftTestFrames.FIELDS, new byte[] {0, 1, 2}, 7));
    assertThat(message.type()).isEqualTo(MessageType.CALL);
    assertThat(message.method()).isEqualTo("submit");
    assertThat(message.sequenceId()).isEqualTo(7);
    assertThat(message.fields()).isEqualTo(ThriftTestFrames.FIELDS);
    assertThat(message.body()).containsExactly(0, 1, 2);
  }

  /** The unknown first argument is a list of structs with a value of each type. */
  @Test
  void skipsArgumentsOfEveryType() throws Exception {
    TMemoryBuffer buffer = new TMemoryBuffer(256);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    protocol.writeMessageBegin(new TMessage("revoke", (byte) 4, 3));
    protocol.writeFieldBegin(new TField("later", TType.LIST, (short) 1));
    protocol.writeListBegin(new TList(TType.STRUCT, 1));
    writeOneFieldOfEachType(protocol);
    protocol.writeFieldBegin(new TField("number", TType.I32, (short) 1));
    protocol.writeI32(41);
    protocol.writeFieldStop();
    ThriftMessage message =
        ThriftMessageDecoder.decode(Arrays.copyOf(buffer.getArray(), buffer.length()));
    assertThat(message.type()).isEqualTo(MessageType.ONEWAY);
    assertThat(message.firstInteger()).isEqualTo(41);
  }

  private static void writeOneFieldOfEachType(TProtocol protocol) throws Exception {
    protocol.writeFieldBegin(new TField("bool", TType.BOOL, (short) 1));
    protocol.writeBool(true);
    protocol.writeFieldBegin(new TField("byte", TType.BYTE, (short) 2));
    protocol.writeByte((byte) 1);
    protocol.writeFieldBegin(new TField("double", TType.DOUBLE, (short) 3));
    protocol.writeDouble(0.5);
    protocol.writeFieldBegin(new TField("short", TType.I16, (short) 4));
    protocol.writeI16((short) 1);
    protocol.writeFieldBegin(new TField("integer", TType.I32, (short) 5));
    protocol.writeI32(1);
    protocol.writeFieldBegin(new TField("long", TType.I64, (short) 6));
    protocol.writeI64(1);
    protocol.writeFieldBegin(new TField("string", TType.STRING, (short) 7));
    protocol.writeString("text");
    protocol.writeFieldBegin(new TField("map", TType.MAP, (short) 8));
    protocol.writeMapBegin(new TMap(TType.I16, TType.BYTE, 1));
    protocol.writeI16((short) 1);
    protocol.writeByte((byte) 1);
    protocol.writeFieldBegin(new TField("set", TType.SET, (short) 9));
    protocol.writeSetBegin(new TSet(TType.I64, 1));
    protocol.writeI64(1);
    protocol.writeFieldStop();
  }

  @Test
  void thriftLibraryReadsEncodedResponse() throws Exception {
    TProtocol reader =
        readerOf(ThriftResponseEncoder.response("submit", 9, new byte[] {5, 6}, true));
    TMessage header = reader.readMessageBegin();
    assertThat(header.type).isEqualTo((byte) 2);
    assertThat(header.seqid).isEqualTo(9);
    assertThat(reader.readFieldBegin().id).isEqualTo((short) 0);
    assertThat(reader.readFieldBegin().id).isEqualTo((short) 1);
    assertThat(reader.readBinary().remaining()).isEqualTo(2);
    assertThat(reader.readFieldBegin().id).isEqualTo((short) 2);
    assertThat(reader.readMapBegin().size).isZero();
    assertThat(reader.readFieldBegin().id).isEqualTo((short) 3);
    assertThat(reader.readBool()).isTrue();
    assertThat(reader.readFieldBegin().type).isEqualTo(TType.STOP);
    assertThat(reader.readFieldBegin().type).isEqualTo(TType.STOP);
  }

  @Test
  void thriftLibraryReadsEncodedExceptions() throws Exception {
    TProtocol declared =
        readerOf(
            ThriftResponseEncoder.declaredException(
                "submit", 3, DeclaredException.FULL, Map.of("cooldown", "250")));
    assertThat(declared.readMessageBegin().seqid).isEqualTo(3);
    assertThat(declared.readFieldBegin().id).isEqualTo((short) 1);
    assertThat(declared.readFieldBegin().id).isEqualTo((short) 1);
    assertThat(declared.readMapBegin().size).isEqualTo(1);
    assertThat(declared.readString() + declared.readString()).isEqualTo("cooldown250");
    TProtocol application = readerOf(ThriftResponseEncoder.unknownMethod("nothing", 4));
    assertThat(application.readMessageBegin().type).isEqualTo((byte) 3);
    assertThat(TApplicationException.readFrom(application).getType())
        .isEqualTo(TApplicationException.UNKNOWN_METHOD);
  }

  @Test
  void rejectsTruncatedFrameAndTrailingByte() throws Exception {
    byte[] frame = ThriftTestFrames.submitFrame(ThriftTestFrames.FIELDS, new byte[40], 1);
    for (int length = 0; length < frame.length; length++) {
      byte[] truncated = Arrays.copyOf(frame, length);
      assertThatThrownBy(() -> ThriftMessageDecoder.decode(truncated))
          .as("error for a frame truncated to %d bytes", length)
          .isInstanceOf(MalformedMessageException.class);
    }
    assertThatThrownBy(() -> ThriftMessageDecoder.decode(Arrays.copyOf(frame, frame.length + 1)))
        .isInstanceOf(MalformedMessageException.class);
  }

  /** Decodes arbitrary bytes, both as a frame and written over a valid message. */
  @Property(tries = 2000, seed = "41")
  void decodesOrRejectsArbitraryBytes(@ForAll @Size(max = 200) byte[] noise, @ForAll int start)
      throws Exception {
    byte[] changed = ThriftTestFrames.submitFrame(ThriftTestFrames.FIELDS, new byte[4], 1);
    for (int i = 0; i < noise.length; i++) {
      changed[Math.floorMod(start + 7 * i, changed.length)] = noise[i];
    }
    for (byte[] frame : new byte[][] {noise, changed}) {
      try {
        ThriftMessage message = ThriftMessageDecoder.decode(frame);
        assertThat(message.method()).isNotNull();
      } catch (MalformedMessageException e) {
        assertThat(e.getMessage()).isNotEmpty();
      }
    }
  }
}
