package switchgap.protocol.thrift;

import java.util.Arrays;
import java.util.Map;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import switchgap.server.platform.ThriftTestClient;

/** Frames that are encoded with Apache Thrift's codec. */
final class ThriftTestFrames {
  /** The fields of a valid submit. */
  static final Map<String, String> FIELDS =
      Map.of(
          "service",
          "again",
          "ref",
          "9b1f03aa5c7e2d41",
          "allow",
          "900",
          "project",
          "shop",
          "lookup",
          "7f3a9c21e0b4d655",
          "effort",
          "8.2",
          "extras",
          "memory_mb:512;lanes:2;colour:3");

  private ThriftTestFrames() {}

  /**
   * Encodes a submit with an additional unknown argument, which a later version of the protocol
   * could add.
   */
  static byte[] submitFrame(Map<String, String> fields, byte[] body, int sequenceId)
      throws Exception {
    TMemoryBuffer buffer = new TMemoryBuffer(256);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    ThriftTestClient.writeSubmitArguments(protocol, sequenceId, fields, body);
    protocol.writeFieldBegin(new TField("later", TType.LIST, (short) 9));
    protocol.writeListBegin(new TList(TType.I32, 2));
    protocol.writeI32(1);
    protocol.writeI32(2);
    protocol.writeFieldStop();
    return Arrays.copyOf(buffer.getArray(), buffer.length());
  }
}
