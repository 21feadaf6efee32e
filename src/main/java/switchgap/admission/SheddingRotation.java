package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Chooses which requests are shed at a given shed fraction. Requests are hashed by tenant and key
 * to the slots of a ring; each slot is as wide as the priority weight that was offered to it
 * lately. An arc as wide as the shed fraction rotates, and what lies in it is shed. So a client
 * that retries finds the same decision for most of the time, in place of being admitted at its
 * second or third attempt, when its latency objective is over and the work that it then causes
 * earns little. A wide slot is covered by the ends of the arc in part.
 */
final class SheddingRotation {
  private static final int SLOT_BITS = 6;
  private static final int SLOTS = 1 << SLOT_BITS;

  /** Weight that each slot has at least: guards against slots of no width. */
  private static final double MIN_SLOT_WEIGHT = 1e-3;

  private static final long KEY_MULTIPLIER = 31;

  /** Two rounds of multiplication by these spread neighbouring keys over the slots. */
  private static final long FIRST_HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final long SECOND_HASH_MULTIPLIER = 0xBF58476D1CE4E5B9L;
  private static final int HASH_SHIFT = 29;

  private final double[] offeredWeight = new double[SLOTS];
  private final double[] slotStart = new double[SLOTS];
  private final double[] slotWidth = new double[SLOTS];
  private final int[] slotOrder = new int[SLOTS];
  private final long salt;
  private final double periodSeconds;
  private double arcStart;

  /** The arc rotates once in each {@code period}. */
  SheddingRotation(Duration period, SplittableRandom random) {
    this.periodSeconds = period.toNanos() / 1e9;
    this.salt = random.nextLong();
    this.arcStart = random.nextDouble();
    shuffleSlots(random);
    layOutSlots();
  }

  /** Neighbours on the ring differ from router to router. */
  private void shuffleSlots(SplittableRandom random) {
    for (int i = 0; i < SLOTS; i++) {
      int swapped = random.nextInt(i + 1);
      slotOrder[i] = slotOrder[swapped];
      slotOrder[swapped] = i;
    }
  }

  /**
   * Whether a request is shed.
   *
   * @param key equal for requests for the same function
   * @param weight priority weight of the request
   * @param shedFraction width of the arc, 0 to 1
   * @param positionInSlot 0 to 1, drawn for each request: a slot that lies in the arc in part is
   *     shed in part
   */
  boolean sheds(int tenant, long key, double weight, double shedFraction, double positionInSlot) {
    int slot = slot(tenant, key);
    offeredWeight[slot] += weight;
    if (shedFraction <= 0) {
      return false;
    }
    double position = slotStart[slot] + positionInSlot * slotWidth[slot];
    double distance = position - arcStart;
    return distance - Math.floor(distance) < shedFraction;
  }

  private int slot(int tenant, long key) {
    long hash = (key * KEY_MULTIPLIER + tenant + salt) * FIRST_HASH_MULTIPLIER;
    hash ^= hash >>> HASH_SHIFT;
    return (int) ((hash * SECOND_HASH_MULTIPLIER) >>> (Long.SIZE - SLOT_BITS));
  }

  /**
   * Rotates the arc, and lays out the slots by the weight offered, of which the fraction {@code
   * retained} remains.
   */
  void advance(double seconds, double retained) {
    arcStart += seconds / periodSeconds;
    arcStart -= Math.floor(arcStart);
    for (int slot = 0; slot < SLOTS; slot++) {
      offeredWeight[slot] *= retained;
    }
    layOutSlots();
  }

  private void layOutSlots() {
    double total = 0;
    for (double weight : offeredWeight) {
      total += weight + MIN_SLOT_WEIGHT;
    }
    double start = 0;
    for (int slot : slotOrder) {
      slotStart[slot] = start;
      slotWidth[slot] = (offeredWeight[slot] + MIN_SLOT_WEIGHT) / total;
      start += slotWidth[slot];
    }
  }
}
