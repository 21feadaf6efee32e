package switchgap.policy.state;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Assigns small indices to external ids. Released indices are reused, the last released one first.
 */
public final class IndexAllocator {
  private static final int INITIAL_CAPACITY = 16;
  private static final int NO_INDEX = -1;

  private final Map<Long, Integer> indices = new HashMap<>();
  private long[] ids = new long[INITIAL_CAPACITY];
  private int[] releasedIndices = new int[INITIAL_CAPACITY];
  private int releasedCount;
  private int allocatedCount;

  /** The index of an id, or -1 if it has none. */
  public int find(long id) {
    return indices.getOrDefault(id, NO_INDEX);
  }

  /** Returns the index of an id; assigns one if it has none. */
  public int allocate(long id) {
    Integer existing = indices.get(id);
    if (existing != null) {
      return existing;
    }
    int index = releasedCount > 0 ? releasedIndices[--releasedCount] : allocatedCount++;
    if (index >= ids.length) {
      ids = Arrays.copyOf(ids, ids.length * 2);
    }
    ids[index] = id;
    indices.put(id, index);
    return index;
  }

  /** The id that an index was last assigned to. */
  public long idOf(int index) {
    return ids[index];
  }

  /** Makes an index available for another id. Has no effect if the index is already released. */
  public void release(int index) {
    if (indices.remove(ids[index], index)) {
      if (releasedCount == releasedIndices.length) {
        releasedIndices = Arrays.copyOf(releasedIndices, releasedCount * 2);
      }
      releasedIndices[releasedCount++] = index;
    }
  }

  /** The number of ids that have an index. */
  public int size() {
    return indices.size();
  }
}
