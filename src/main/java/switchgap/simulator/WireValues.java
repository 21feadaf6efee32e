package switchgap.simulator;

import java.nio.ByteBuffer;
import java.time.Duration;

/** Reads and writes types of values that occur in several records. */
final class WireValues {
  private static final long UNSIGNED_INT_MASK = 0xffffffffL;
  private static final long UNSIGNED_SHORT_MASK = 0xffffL;
  private static final long NANOS_PER_MICRO = 1000;

  /** Offset of the lower 16 bits within a worker's id, after its upper 32 bits. */
  private static final int WORKER_ID_LOWER_OFFSET = 4;

  private WireValues() {}

  static Duration ofMicros(long micros) {
    return Duration.ofNanos(micros * NANOS_PER_MICRO);
  }

  static long toMicros(Duration duration) {
    return duration.toNanos() / NANOS_PER_MICRO;
  }

  /** Reads a duration, written as a 32-bit unsigned number of microseconds. */
  static Duration duration(ByteBuffer buffer, int offset) {
    return ofMicros(buffer.getInt(offset) & UNSIGNED_INT_MASK);
  }

  static int unsignedByte(ByteBuffer buffer, int offset) {
    return buffer.get(offset) & 0xff;
  }

  static int unsignedShort(ByteBuffer buffer, int offset) {
    return buffer.getShort(offset) & 0xffff;
  }

  /** Reads a worker's id of 48 bits. */
  static long workerId(ByteBuffer buffer, int offset) {
    long upper = buffer.getInt(offset) & UNSIGNED_INT_MASK;
    long lower = buffer.getShort(offset + WORKER_ID_LOWER_OFFSET) & UNSIGNED_SHORT_MASK;
    return upper << Short.SIZE | lower;
  }

  static void putWorkerId(ByteBuffer buffer, int offset, long workerId) {
    buffer.putInt(offset, (int) (workerId >>> Short.SIZE));
    buffer.putShort(offset + WORKER_ID_LOWER_OFFSET, (short) workerId);
  }
}
