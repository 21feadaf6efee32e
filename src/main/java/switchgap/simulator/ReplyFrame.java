package switchgap.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds reply frames: a header, action records, and a tail of their texts. Reused for each frame.
 */
final class ReplyFrame {
  private static final int RECORD_BYTES = 24;
  private static final int HEADER_BYTES = 12;
  private static final int INITIAL_BYTES = 1 << 14;
  private static final int INITIAL_TAIL_BYTES = 256;

  // Offsets in bytes from the frame's start.
  private static final int NUMBER_OFFSET = 0;
  private static final int RECORD_COUNT_OFFSET = 4;
  private static final int FRAME_BYTES_OFFSET = 8;
  // Offsets in bytes from a record's start.
  private static final int CODE_OFFSET = 0;
  private static final int ROUTER_ID_OFFSET = 1;

  /** Of a reference to the tail: its offset there, then its size. */
  private static final int REFERENCE_SIZE_OFFSET = 4;

  private byte[] bytes = new byte[INITIAL_BYTES];
  private ByteBuffer buffer = littleEndian(bytes);
  private byte[] tail = new byte[INITIAL_TAIL_BYTES];
  private int tailBytes;
  private int recordCount;

  private static ByteBuffer littleEndian(byte[] array) {
    return ByteBuffer.wrap(array).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Begins the reply to the frame of that number. */
  void begin(int number) {
    recordCount = 0;
    tailBytes = 0;
    buffer.putInt(NUMBER_OFFSET, number);
  }

  /** Adds a record of zeros with its type and router, and returns its offset in {@link #buffer}. */
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

  /** The records; another buffer after {@link #addRecord}. */
  ByteBuffer buffer() {
    return buffer;
  }

  /** Adds a text to the tail and writes a reference to it. */
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

  /** Returns the complete frame. */
  byte[] finish() {
    int tailStart = HEADER_BYTES + RECORD_BYTES * recordCount;
    buffer.putInt(RECORD_COUNT_OFFSET, recordCount);
    buffer.putInt(FRAME_BYTES_OFFSET, tailStart + tailBytes);
    byte[] frame = Arrays.copyOf(bytes, tailStart + tailBytes);
    System.arraycopy(tail, 0, frame, tailStart, tailBytes);
    return frame;
  }
}
