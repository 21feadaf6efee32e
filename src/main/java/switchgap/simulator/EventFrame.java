package switchgap.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * A frame of event records: a header, the records, and a tail that holds their parts of variable
 * length.
 *
 * @param number the frame's number, repeated in its reply
 * @param recordCount how many records it has
 * @param clockMicros the simulator's time
 * @param body the records and the tail, little-endian
 */
record EventFrame(int number, int recordCount, long clockMicros, ByteBuffer body) {
  private static final int HEADER_BYTES = 20;
  private static final int NUMBER_OFFSET = 0;
  private static final int RECORD_COUNT_OFFSET = 4;
  private static final int FRAME_BYTES_OFFSET = 8;
  private static final int CLOCK_OFFSET = 12;

  /** Of a reference to the tail: its offset there, then its size. */
  private static final int REFERENCE_SIZE_OFFSET = 4;

  /** Reads the next frame, or returns null at the end of the stream. */
  static EventFrame read(InputStream input) throws IOException {
    byte[] headerBytes = new byte[HEADER_BYTES];
    int headerSize = input.readNBytes(headerBytes, 0, HEADER_BYTES);
    if (headerSize == 0) {
      return null;
    }
    if (headerSize < HEADER_BYTES) {
      throw new MalformedFrameException(
          "header ends at byte " + headerSize + " of " + HEADER_BYTES);
    }
    ByteBuffer header = ByteBuffer.wrap(headerBytes).order(ByteOrder.LITTLE_ENDIAN);
    int number = header.getInt(NUMBER_OFFSET);
    long recordCount = Integer.toUnsignedLong(header.getInt(RECORD_COUNT_OFFSET));
    long frameBytes = Integer.toUnsignedLong(header.getInt(FRAME_BYTES_OFFSET));
    long minBytes = HEADER_BYTES + recordCount * EventLayout.RECORD_BYTES;
    if (frameBytes < minBytes || frameBytes > Integer.MAX_VALUE) {
      throw new MalformedFrameException(
          "length " + frameBytes + " at byte 8 does not fit " + recordCount + " records");
    }
    byte[] body = input.readNBytes((int) frameBytes - HEADER_BYTES);
    if (body.length < frameBytes - HEADER_BYTES) {
      throw new MalformedFrameException(
          "frame "
              + number
              + " ends at byte "
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

  /** Where a record begins in the body. */
  int offsetOf(int record) {
    return record * EventLayout.RECORD_BYTES;
  }

  /** A record's event code. */
  int codeOf(int record) {
    return WireValues.unsignedByte(body, offsetOf(record) + EventLayout.CODE);
  }

  /** The router that a record is for. */
  int routerIdOf(int record) {
    return WireValues.unsignedShort(body, offsetOf(record) + EventLayout.ROUTER_ID);
  }

  /** The byte of the frame at which an offset in the body lies, for messages. */
  static int frameOffset(int bodyOffset) {
    return HEADER_BYTES + bodyOffset;
  }

  /**
   * Copies the part of the tail that a record refers to.
   *
   * @param field the reference's offset in the record
   * @param unitBytes bytes of each of the elements that the reference counts
   */
  byte[] tailPart(int record, int field, int unitBytes) throws MalformedFrameException {
    int reference = offsetOf(record) + field;
    long start = offsetOf(recordCount) + Integer.toUnsignedLong(body.getInt(reference));
    long size = Integer.toUnsignedLong(body.getInt(reference + REFERENCE_SIZE_OFFSET)) * unitBytes;
    if (start + size > body.capacity()) {
      throw new MalformedFrameException(
          "offset at byte "
              + frameOffset(reference)
              + " of record "
              + record
              + " is outside the tail");
    }
    byte[] part = new byte[(int) size];
    body.get((int) start, part);
    return part;
  }
}
