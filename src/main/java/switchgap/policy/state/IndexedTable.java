package switchgap.policy.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Things by small index; looping passes over the empty places, in the order of the indices. */
public final class IndexedTable<T> implements Iterable<T> {
    private final List<T> slots = new ArrayList<>();

    public T get(int index) {
        return index < slots.size() ? slots.get(index) : null;
    }

    public T set(int index, T thing) {
        while (slots.size() <= index) {
            slots.add(null);
        }
        slots.set(index, thing);
        return thing;
    }

    @Override public Iterator<T> iterator() {
        return new Iterator<>() {
            private int next = full(0);

            private int full(int from) {
                int i = from;
                while (i < slots.size() && slots.get(i) == null) {
                    i++;
                }
                return i;
            }

            @Override public boolean hasNext() {
                return next < slots.size();
            }

            @Override public T next() {
                T each = slots.get(next);
                next = full(next + 1);
                return each;
            }
        };
    }
}
