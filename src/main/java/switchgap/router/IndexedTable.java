package switchgap.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Elements by small indices, assigned from 0; a released index is assigned again, the one released
 * last first. Not bounded: its owner limits the elements. Not thread-safe.
 */
final class IndexedTable<T> {
  private final List<T> elements = new ArrayList<>();
  private final List<Integer> freeIndices = new ArrayList<>();

  /** Adds an element, which may be null until it is set, and returns its index. */
  int add(T element) {
    if (freeIndices.isEmpty()) {
      elements.add(element);
      return elements.size() - 1;
    }
    int index = freeIndices.remove(freeIndices.size() - 1);
    elements.set(index, element);
    return index;
  }

  /** Replaces the element of an assigned index. */
  void set(int index, T element) {
    elements.set(index, element);
  }

  /** The element of an index; after a release the last one, until the index is assigned again. */
  T get(int index) {
    return elements.get(index);
  }

  /** Frees an assigned index. The element stays; set it to null first to drop it. */
  void release(int index) {
    freeIndices.add(index);
  }

  /** Number of indices assigned and not released. */
  int size() {
    return elements.size() - freeIndices.size();
  }

  /** The elements that are not null, by index. */
  Stream<T> stream() {
    return elements.stream().filter(Objects::nonNull);
  }
}
