package switchgap.router;

import java.util.HashMap;
import java.util.Map;

/**
 * Assigns indices to names, and maps in both directions; released indices are reused. Unbounded:
 * the owner must limit the number of names. Confined to the event loop thread.
 */
final class NameIndex {
  /** Returned for a name without an index. */
  static final int NOT_FOUND = -1;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MURMUR3_FINALIZER_MULTIPLIER = 0xff51afd7ed558ccdL;
  private static final long HASH_MASK = 0xffffffffffL;

  private final Map<String, Integer> indices = new HashMap<>();
  private final IndexAllocatingTable<String> names = new IndexAllocatingTable<>();

  /** The index of a name, or {@link #NOT_FOUND}. */
  int find(String name) {
    return indices.getOrDefault(name, NOT_FOUND);
  }

  /** Returns the index of a name; assigns one if the name has none. */
  int allocate(String name) {
    Integer existingIndex = indices.get(name);
    if (existingIndex != null) {
      return existingIndex;
    }
    int index = names.add(name);
    indices.put(name, index);
    return index;
  }

  /** The name with an index. A released index keeps its name until the index is reused. */
  String nameOf(int index) {
    return names.get(index);
  }

  /** Releases an index for reuse. */
  void release(int index) {
    if (indices.remove(names.get(index), index)) {
      names.release(index);
    }
  }

  int size() {
    return indices.size();
  }

  /**
   * Computes a 40-bit hash that is the same on every router: FNV-1a, followed by a step of the
   * MurmurHash3 finalizer.
   */
  static long hash(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 33)) * MURMUR3_FINALIZER_MULTIPLIER;
    return (hash ^ (hash >>> 33)) & HASH_MASK;
  }
}
