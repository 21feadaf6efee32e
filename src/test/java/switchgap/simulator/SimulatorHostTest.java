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

/** Tests the replies of the host to frames, and the error messages for malformed frames. */
class SimulatorHostTest {
  private static final int HEADER_BYTES = 20;
  private static final int RECORD_BYTES = 56;
  private static final int REPLY_HEADER_BYTES = 12;

  // Offsets in bytes from the start of a frame, the same for event frames and replies.
  private static final int NUMBER_OFFSET = 0;
  private static final int RECORD_COUNT_OFFSET = 4;
  private static final int FRAME_BYTES_OFFSET = 8;

  // Codes of event types and action types on the wire.
  private static final byte START_ROUTER = 1;
  private static final byte CLIENT_DISCONNECTED = 3;
  private static final byte ENDPOINT_LIST = 6;
  private static final byte DEFINE_LIST = 9;
  private static final byte WAKE_UP = 10;
  private static final byte POLICY_FAULT = 10;

  private static ByteBuffer frame(int number, int recordCount, int tailBytes) {
    ByteBuffer frame =
        ByteBuffer.allocate(HEADER_BYTES + RECORD_BYTES * recordCount + tailBytes)
            .order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(NUMBER_OFFSET, number);
    frame.putInt(RECORD_COUNT_OFFSET, recordCount);
    frame.putInt(FRAME_BYTES_OFFSET, frame.capacity());
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
    assertThat(reply.capacity()).isEqualTo(REPLY_HEADER_BYTES);
    assertThat(reply.getInt(NUMBER_OFFSET)).isEqualTo(9);
    assertThat(reply.getInt(RECORD_COUNT_OFFSET)).isZero();
    assertThat(reply.getInt(FRAME_BYTES_OFFSET)).isEqualTo(REPLY_HEADER_BYTES);
  }

  /** A router without settings reports a fault at its start, and ignores later events. */
  @Test
  void reportsFaultOnceForRouterWithInvalidSettings() throws IOException {
    ByteBuffer start = frameOfOneRecord(START_ROUTER);
    ByteBuffer wakeUp = frameOfOneRecord(WAKE_UP);
    ByteArrayOutputStream input = new ByteArrayOutputStream();
    input.write(start.array());
    input.write(wakeUp.array());
    ByteBuffer replies = ByteBuffer.wrap(serve(input.toByteArray())).order(ByteOrder.LITTLE_ENDIAN);
    assertThat(replies.getInt(RECORD_COUNT_OFFSET)).isEqualTo(1);
    assertThat(replies.get(REPLY_HEADER_BYTES)).isEqualTo(POLICY_FAULT);
    int secondReply = replies.getInt(FRAME_BYTES_OFFSET);
    assertThat(replies.getInt(secondReply + RECORD_COUNT_OFFSET)).isZero();
    assertThat(replies.capacity()).isEqualTo(secondReply + REPLY_HEADER_BYTES);
  }

  @Test
  void rejectsTruncatedHeader() {
    assertMalformed(new byte[5], "header truncated at byte 5 of 20");
  }

  @Test
  void rejectsTruncatedBody() {
    byte[] truncated = Arrays.copyOf(frameOfOneRecord(START_ROUTER).array(), 40);
    assertMalformed(truncated, "frame 3 truncated at byte 40 of 76");
  }

  @Test
  void rejectsLengthTooShortForRecords() {
    byte[] frame = frame(3, 1, 0).putInt(FRAME_BYTES_OFFSET, 75).array();
    assertMalformed(frame, "frame length 75 at byte 8 is invalid for 1 records");
  }

  @Test
  void rejectsUnknownEventCode() {
    assertMalformed(frameOfOneRecord(13).array(), "unknown event code 13 in record 0 at byte 20");
    assertMalformed(frameOfOneRecord(0).array(), "unknown event code 0 in record 0 at byte 20");
  }

  @Test
  void rejectsEventForUnknownRouter() {
    ByteBuffer frame =
        frameOfOneRecord(CLIENT_DISCONNECTED).putShort(HEADER_BYTES + 1, (short) 0xffff);
    assertMalformed(frame.array(), "record 0 is for router 65535, which is not running");
  }

  @Test
  void rejectsReferenceToUndefinedList() {
    ByteBuffer frame = frame(3, 2, 0);
    frame.put(HEADER_BYTES, START_ROUTER);
    frame.put(HEADER_BYTES + RECORD_BYTES, ENDPOINT_LIST);
    frame.putInt(HEADER_BYTES + RECORD_BYTES + 3, 4);
    assertMalformed(frame.array(), "record 1 refers to endpoint list 4, which is not defined");
  }

  @Test
  void rejectsReferenceOutsideTail() {
    ByteBuffer frame = frame(3, 1, 24);
    frame.put(HEADER_BYTES, DEFINE_LIST);
    // An entry takes 25 bytes, one more than the tail has.
    frame.putInt(HEADER_BYTES + 9, 1);
    assertMalformed(frame.array(), "reference at byte 25 in record 0 points outside the tail");
  }
}
