package switchgap.policy.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * A table of elements by small index. Iteration follows the order of the indices and skips those
 * without an element; the table may be modified during an iteration.
 */
public final class IndexedTable<T> implements Iterable<T> {
  private final List<T> elements = new ArrayList<>();

  /** The element at an index, or null if there is none. */
  public T get(int index) {
    return index < elements.size() ? elements.get(index) : null;
  }

  /** Sets the element at an index, or removes it if {@code element} is null; returns it. */
  public T set(int index, T element) {
    while (elements.size() <= index) {
      elements.add(null);
    }
    elements.set(index, element);
    return element;
  }

  @Override
  public Iterator<T> iterator() {
    return new Iterator<>() {
      private int next = occupiedFrom(0);

      private int occupiedFrom(int start) {
        int index = start;
        while (index < elements.size() && elements.get(index) == null) {
          index++;
        }
        return index;
      }

      @Override
      public boolean hasNext() {
        return next < elements.size();
      }

      @Override
      public T next() {
        T element = elements.get(next);
        next = occupiedFrom(next + 1);
        return element;
      }
    };
  }
}
