package switchgap.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds reply frames. A reply consists of a header, action records, and a tail that contains the
 * texts of the records. One instance builds all replies, one after another.
 */
final class ReplyFrame {
  private static final int RECORD_BYTES = 24;
  private static final int HEADER_BYTES = 12;
  private static final int INITIAL_BYTES = 1 << 14;
  private static final int INITIAL_TAIL_BYTES = 256;

  // Offsets of fields, in bytes from the start of the frame.
  private static final int NUMBER_OFFSET = 0;
  private static final int RECORD_COUNT_OFFSET = 4;
  private static final int FRAME_BYTES_OFFSET = 8;

  // Offsets of fields, in bytes from the start of a record.
  private static final int CODE_OFFSET = 0;
  private static final int ROUTER_ID_OFFSET = 1;

  /**
   * Offset of the size within a reference to the tail. A reference consists of the text's offset in
   * the tail and its size, of four bytes each.
   */
  private static final int REFERENCE_SIZE_OFFSET = 4;

  private byte[] bytes = new byte[INITIAL_BYTES];
  private ByteBuffer buffer = littleEndian(bytes);
  private byte[] tail = new byte[INITIAL_TAIL_BYTES];
  private int tailBytes;
  private int recordCount;

  private static ByteBuffer littleEndian(byte[] array) {
    return ByteBuffer.wrap(array).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Starts a new reply, to the event frame with this number. */
  void begin(int number) {
    recordCount = 0;
    tailBytes = 0;
    buffer.putInt(NUMBER_OFFSET, number);
  }

  /**
   * Adds a record with a type and a router; all other fields are 0.
   *
   * @return offset of the record in {@link #buffer}
   */
  int addRecord(ActionType type, int routerId) {
    int offset = HEADER_BYTES + RECORD_BYTES * recordCount;
    recordCount++;
    if (offset + RECORD_BYTES > bytes.length) {
      bytes = Arrays.copyOf(bytes, bytes.length * 2);
      buffer = littleEndian(bytes);
    }
    Arrays.fill(bytes, offset, offset + RECORD_BYTES, (byte) 0);
    bytes[offset + CODE_OFFSET] = type.code();
    buffer.putShort(offset + ROUTER_ID_OFFSET, (short) routerId);
    return offset;
  }

  /** The header and the records. {@link #addRecord} may replace the buffer by a larger one. */
  ByteBuffer buffer() {
    return buffer;
  }

  /** Adds a text to the tail, and writes a reference to it at an offset in {@link #buffer}. */
  void putText(int offset, String text) {
    byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
    if (tailBytes + encoded.length > tail.length) {
      tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailBytes + encoded.length));
    }
    System.arraycopy(encoded, 0, tail, tailBytes, encoded.length);
    buffer.putInt(offset, tailBytes);
    buffer.putInt(offset + REFERENCE_SIZE_OFFSET, encoded.length);
    tailBytes += encoded.length;
  }

  /** Returns the complete reply. */
  byte[] finish() {
    int tailStart = HEADER_BYTES + RECORD_BYTES * recordCount;
    buffer.putInt(RECORD_COUNT_OFFSET, recordCount);
    buffer.putInt(FRAME_BYTES_OFFSET, tailStart + tailBytes);
    byte[] frame = Arrays.copyOf(bytes, tailStart + tailBytes);
    System.arraycopy(tail, 0, frame, tailStart, tailBytes);
    return frame;
  }
}
