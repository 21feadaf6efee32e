package switchgap.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * A table that assigns indices from 0 to its elements and reuses released indices, the most
 * recently released first. Unbounded: the owner must limit the number of elements. Not thread-safe.
 */
final class IndexAllocatingTable<T> {
  private final List<T> elements = new ArrayList<>();
  private final List<Integer> releasedIndices = new ArrayList<>();

  /** Adds an element and returns its index. The element may be null and set later. */
  int add(T element) {
    if (releasedIndices.isEmpty()) {
      elements.add(element);
      return elements.size() - 1;
    }
    int index = releasedIndices.remove(releasedIndices.size() - 1);
    elements.set(index, element);
    return index;
  }

  /** Replaces the element of an assigned index. */
  void set(int index, T element) {
    elements.set(index, element);
  }

  /** The element at an index. A released index keeps its element until the index is reused. */
  T get(int index) {
    return elements.get(index);
  }

  /**
   * Frees an assigned index. The table keeps a reference to the element; to drop it, set it to null
   * first.
   */
  void release(int index) {
    releasedIndices.add(index);
  }

  /** The number of assigned indices. */
  int size() {
    return elements.size() - releasedIndices.size();
  }

  /** The elements that are not null, in the order of their indices. */
  Stream<T> stream() {
    return elements.stream().filter(Objects::nonNull);
  }
}
