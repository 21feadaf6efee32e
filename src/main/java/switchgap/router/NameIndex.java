package switchgap.router;

import java.util.HashMap;
import java.util.Map;

/**
 * Names to small indices and back; a released index is assigned again. Not bounded: its owner
 * limits the names. Belongs to the event loop.
 */
final class NameIndex {
  /** The index of a name that has none. */
  static final int NOT_FOUND = -1;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL; // of MurmurHash3's finalizer
  private static final long HASH_BITS = 0xffffffffffL;

  private final Map<String, Integer> indices = new HashMap<>();
  private final IndexedTable<String> names = new IndexedTable<>();

  /** The index of a name, or {@link #NOT_FOUND}. */
  int find(String name) {
    return indices.getOrDefault(name, NOT_FOUND);
  }

  /** The index of a name, a new one where it has none. */
  int allocate(String name) {
    Integer known = indices.get(name);
    if (known != null) {
      return known;
    }
    int index = names.add(name);
    indices.put(name, index);
    return index;
  }

  /** The name of an index; after a release until the index is assigned again. */
  String nameOf(int index) {
    return names.get(index);
  }

  /** Frees an index for another name. */
  void release(int index) {
    if (indices.remove(names.get(index), index)) {
      names.release(index);
    }
  }

  /** Number of names that have an index. */
  int size() {
    return indices.size();
  }

  /** A hash of 40 bits that is equal at every router: FNV-1a, then the finalizer of MurmurHash3. */
  static long hash(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 33)) * MIX_MULTIPLIER;
    return (hash ^ (hash >>> 33)) & HASH_BITS;
  }
}
