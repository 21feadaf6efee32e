package switchgap.simulator;

import java.nio.ByteBuffer;
import java.time.Duration;

/** Values that several records have, as the simulator writes them. */
final class WireValues {
  private static final long UNSIGNED_INT = 0xffffffffL;
  private static final long UNSIGNED_SHORT = 0xffffL;
  private static final long NANOS_PER_MICRO = 1000;

  /** A worker's id: four bytes of its upper half, then two of its lower. */
  private static final int WORKER_ID_LOWER = 4;

  private WireValues() {}

  static Duration ofMicros(long micros) {
    return Duration.ofNanos(micros * NANOS_PER_MICRO);
  }

  static long toMicros(Duration duration) {
    return duration.toNanos() / NANOS_PER_MICRO;
  }

  /** A duration in 32 unsigned bits of microseconds. */
  static Duration duration(ByteBuffer buffer, int at) {
    return ofMicros(buffer.getInt(at) & UNSIGNED_INT);
  }

  static int unsignedByte(ByteBuffer buffer, int at) {
    return buffer.get(at) & 0xff;
  }

  static int unsignedShort(ByteBuffer buffer, int at) {
    return buffer.getShort(at) & 0xffff;
  }

  /** A worker's id, of 48 bits. */
  static long workerId(ByteBuffer buffer, int at) {
    long upper = buffer.getInt(at) & UNSIGNED_INT;
    long lower = buffer.getShort(at + WORKER_ID_LOWER) & UNSIGNED_SHORT;
    return upper << Short.SIZE | lower;
  }

  static void putWorkerId(ByteBuffer buffer, int at, long workerId) {
    buffer.putInt(at, (int) (workerId >>> Short.SIZE));
    buffer.putShort(at + WORKER_ID_LOWER, (short) workerId);
  }
}
