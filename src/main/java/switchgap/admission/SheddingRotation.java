package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Chooses which requests are shed at a given shed fraction. Requests are hashed by tenant and key
 * to the slots of a ring; the width of a slot is proportional to the priority weight recently
 * offered to it. An arc whose width is the shed fraction rotates around the ring, and requests
 * within it are shed. A client that retries therefore gets the same decision most of the time. With
 * independent decisions it would often be admitted at its second or third retry, after its latency
 * objective, when its execution has little value. An end of the arc may cover a slot partially.
 */
final class SheddingRotation {
  private static final int SLOT_BITS = 6;
  private static final int SLOT_COUNT = 1 << SLOT_BITS;

  /** Weight added to each slot, so that no slot has a width of 0. */
  private static final double MIN_SLOT_WEIGHT = 1e-3;

  private static final long KEY_MULTIPLIER = 31;

  /**
   * Multiplier of the first round of hashing. Two rounds distribute adjacent keys over the slots.
   */
  private static final long FIRST_HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final long SECOND_HASH_MULTIPLIER = 0xBF58476D1CE4E5B9L;
  private static final int HASH_SHIFT = 29;

  private final double[] offeredWeight = new double[SLOT_COUNT];
  private final double[] slotStart = new double[SLOT_COUNT];
  private final double[] slotWidth = new double[SLOT_COUNT];
  private final int[] slotOrder = new int[SLOT_COUNT];
  private final long salt;
  private final double periodSeconds;
  private double arcStart;

  /** Creates a rotation; the arc rotates once per {@code period}. */
  SheddingRotation(Duration period, SplittableRandom random) {
    this.periodSeconds = period.toNanos() / 1e9;
    this.salt = random.nextLong();
    this.arcStart = random.nextDouble();
    shuffleSlots(random);
    layOutSlots();
  }

  /** Shuffles the order of the slots on the ring, which thereby differs between routers. */
  private void shuffleSlots(SplittableRandom random) {
    for (int i = 0; i < SLOT_COUNT; i++) {
      int swapIndex = random.nextInt(i + 1);
      slotOrder[i] = slotOrder[swapIndex];
      slotOrder[swapIndex] = i;
    }
  }

  /**
   * Counts an offered request and returns whether it is shed.
   *
   * @param key equal for requests for the same function
   * @param weight priority weight of the request
   * @param shedFraction width of the arc, 0 to 1
   * @param positionInSlot 0 to 1, drawn at random for each request, so that a slot that lies
   *     partially in the arc is shed partially
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
   * Rotates the arc, multiplies the offered weights by {@code retainedFraction} and updates the
   * widths of the slots.
   */
  void advance(double seconds, double retainedFraction) {
    arcStart += seconds / periodSeconds;
    arcStart -= Math.floor(arcStart);
    for (int slot = 0; slot < SLOT_COUNT; slot++) {
      offeredWeight[slot] *= retainedFraction;
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
