package switchgap.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * A frame of event records. It consists of a header, the records, and a tail that contains the
 * parts of variable length.
 *
 * @param number number of the frame, which its reply repeats
 * @param recordCount number of records
 * @param clockMicros simulated time, in microseconds
 * @param body the records and the tail, little-endian
 */
record EventFrame(int number, int recordCount, long clockMicros, ByteBuffer body) {
  private static final int HEADER_BYTES = 20;

  // Offsets of fields, in bytes from the start of the header.
  private static final int NUMBER_OFFSET = 0;
  private static final int RECORD_COUNT_OFFSET = 4;
  private static final int FRAME_BYTES_OFFSET = 8;
  private static final int CLOCK_OFFSET = 12;

  /**
   * Offset of the size within a reference to the tail. A reference consists of the part's offset in
   * the tail and its size, of four bytes each.
   */
  private static final int REFERENCE_SIZE_OFFSET = 4;

  /**
   * Reads the next frame.
   *
   * @return the frame, or null at the end of the stream
   * @throws MalformedFrameException if the stream ends within the frame, or its length is invalid
   */
  static EventFrame read(InputStream input) throws IOException {
    byte[] headerBytes = new byte[HEADER_BYTES];
    int headerSize = input.readNBytes(headerBytes, 0, HEADER_BYTES);
    if (headerSize == 0) {
      return null;
    }
    if (headerSize < HEADER_BYTES) {
      throw new MalformedFrameException(
          "header truncated at byte " + headerSize + " of " + HEADER_BYTES);
    }
    ByteBuffer header = ByteBuffer.wrap(headerBytes).order(ByteOrder.LITTLE_ENDIAN);
    int number = header.getInt(NUMBER_OFFSET);
    long recordCount = Integer.toUnsignedLong(header.getInt(RECORD_COUNT_OFFSET));
    long frameBytes = Integer.toUnsignedLong(header.getInt(FRAME_BYTES_OFFSET));
    long minBytes = HEADER_BYTES + recordCount * EventLayout.RECORD_BYTES;
    if (frameBytes < minBytes || frameBytes > Integer.MAX_VALUE) {
      throw new MalformedFrameException(
          "frame length " + frameBytes + " at byte 8 is invalid for " + recordCount + " records");
    }
    byte[] body = input.readNBytes((int) frameBytes - HEADER_BYTES);
    if (body.length < frameBytes - HEADER_BYTES) {
      throw new MalformedFrameException(
          "frame "
              + number
              + " truncated at byte "
              + (HEADER_BYTES + body.length)
              + " of "
              + frameBytes);
    }
    return new EventFrame(
        number,
        (int) recordCount,
        header.getLong(CLOCK_OFFSET),
        ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN));
  }

  /** The offset of a record in the body. */
  int offsetOf(int record) {
    return record * EventLayout.RECORD_BYTES;
  }

  /** The code of a record's event type. */
  int codeOf(int record) {
    return WireValues.unsignedByte(body, offsetOf(record) + EventLayout.CODE);
  }

  /** The id of the router that receives a record. */
  int routerIdOf(int record) {
    return WireValues.unsignedShort(body, offsetOf(record) + EventLayout.ROUTER_ID);
  }

  /** Converts an offset in the body to an offset in the frame, for error messages. */
  static int frameOffset(int bodyOffset) {
    return HEADER_BYTES + bodyOffset;
  }

  /**
   * Copies the part of the tail that a record refers to.
   *
   * @param field offset of the reference in the record
   * @param unitBytes size of the unit in which the reference states the part's size, in bytes
   * @throws MalformedFrameException if the part is not within the tail
   */
  byte[] tailPart(int record, int field, int unitBytes) throws MalformedFrameException {
    int reference = offsetOf(record) + field;
    long start = offsetOf(recordCount) + Integer.toUnsignedLong(body.getInt(reference));
    long size = Integer.toUnsignedLong(body.getInt(reference + REFERENCE_SIZE_OFFSET)) * unitBytes;
    if (start + size > body.capacity()) {
      throw new MalformedFrameException(
          "reference at byte "
              + frameOffset(reference)
              + " in record "
              + record
              + " points outside the tail");
    }
    byte[] part = new byte[(int) size];
    body.get((int) start, part);
    return part;
  }
}
