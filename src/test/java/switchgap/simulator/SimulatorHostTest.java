package switchgap.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** What the host does with frames, and what it says of malformed ones. */
class SimulatorHostTest {
  private static final int HEADER_BYTES = 20;
  private static final int RECORD_BYTES = 56;

  private static ByteBuffer frame(int number, int recordCount, int tailBytes) {
    ByteBuffer frame =
        ByteBuffer.allocate(HEADER_BYTES + RECORD_BYTES * recordCount + tailBytes)
            .order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(0, number);
    frame.putInt(4, recordCount);
    frame.putInt(8, frame.capacity());
    return frame;
  }

  private static ByteBuffer frameOfOneRecord(int code) {
    ByteBuffer frame = frame(3, 1, 0);
    frame.put(HEADER_BYTES, (byte) code);
    return frame;
  }

  private static byte[] serve(byte[] input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorHost().serve(new ByteArrayInputStream(input), out);
    return out.toByteArray();
  }

  private static void assertMalformed(byte[] input, String message) {
    assertThatThrownBy(() -> serve(input))
        .isInstanceOf(MalformedFrameException.class)
        .hasMessage(message);
  }

  @Test
  void repliesToEmptyFrameWithItsNumber() throws IOException {
    ByteBuffer reply =
        ByteBuffer.wrap(serve(frame(9, 0, 0).array())).order(ByteOrder.LITTLE_ENDIAN);
    assertThat(reply.capacity()).isEqualTo(12);
    assertThat(reply.getInt(0)).isEqualTo(9);
    assertThat(reply.getInt(4)).isZero();
    assertThat(reply.getInt(8)).isEqualTo(12);
  }

  /** A router without settings reports its fault once and decides nothing from then on. */
  @Test
  void reportsFaultOnceForRouterWithInvalidSettings() throws IOException {
    ByteBuffer start = frameOfOneRecord(1);
    ByteBuffer wakeUp = frameOfOneRecord(10);
    ByteArrayOutputStream input = new ByteArrayOutputStream();
    input.write(start.array());
    input.write(wakeUp.array());
    ByteBuffer replies = ByteBuffer.wrap(serve(input.toByteArray())).order(ByteOrder.LITTLE_ENDIAN);
    assertThat(replies.getInt(4)).isEqualTo(1);
    assertThat(replies.get(12)).isEqualTo((byte) 10);
    int second = replies.getInt(8);
    assertThat(replies.getInt(second + 4)).isZero();
    assertThat(replies.capacity()).isEqualTo(second + 12);
  }

  @Test
  void rejectsTruncatedHeader() {
    assertMalformed(new byte[5], "header ends at byte 5 of 20");
  }

  @Test
  void rejectsTruncatedBody() {
    byte[] truncated = Arrays.copyOf(frameOfOneRecord(1).array(), 40);
    assertMalformed(truncated, "frame 3 ends at byte 40 of 76");
  }

  @Test
  void rejectsLengthTooShortForRecords() {
    byte[] frame = frame(3, 1, 0).putInt(8, 75).array();
    assertMalformed(frame, "length 75 at byte 8 does not fit 1 records");
  }

  @Test
  void rejectsUnknownEventCode() {
    assertMalformed(frameOfOneRecord(13).array(), "unknown event code 13 in record 0 at byte 20");
    assertMalformed(frameOfOneRecord(0).array(), "unknown event code 0 in record 0 at byte 20");
  }

  @Test
  void rejectsEventForUnknownRouter() {
    ByteBuffer frame = frameOfOneRecord(3).putShort(HEADER_BYTES + 1, (short) 0xffff);
    assertMalformed(frame.array(), "record 0 is for instance 65535, which is not alive");
  }

  @Test
  void rejectsReferenceToUndefinedList() {
    ByteBuffer frame = frame(3, 2, 0);
    frame.put(HEADER_BYTES, (byte) 1);
    frame.put(HEADER_BYTES + RECORD_BYTES, (byte) 6);
    frame.putInt(HEADER_BYTES + RECORD_BYTES + 3, 4);
    assertMalformed(frame.array(), "record 1 names list 4, never defined");
  }

  @Test
  void rejectsReferenceOutsideTail() {
    ByteBuffer frame = frame(3, 1, 24);
    frame.put(HEADER_BYTES, (byte) 9);
    frame.putInt(HEADER_BYTES + 9, 1); // an entry takes 25 bytes
    assertMalformed(frame.array(), "offset at byte 25 of record 0 is outside the tail");
  }
}
