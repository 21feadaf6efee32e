package switchgap.policy.state;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Outside ids to small indices and back; a freed index is handed out again, the lowest freed last first. */
public final class IndexAllocator {
    private final Map<Long, Integer> indices = new HashMap<>();
    private long[] names = new long[16];
    private int[] free = new int[16];
    private int freed;
    private int used;

    /** The index of a name, or -1. */
    public int find(long name) {
        Integer i = indices.get(name);
        return i == null ? -1 : i;
    }

    public int allocate(long name) {
        Integer known = indices.get(name);
        if (known != null) {
            return known;
        }
        int i = freed > 0 ? free[--freed] : used++;
        if (i >= names.length) {
            names = Arrays.copyOf(names, names.length * 2);
        }
        names[i] = name;
        indices.put(name, i);
        return i;
    }

    public long idOf(int index) {
        return names[index];
    }

    public void release(int index) {
        if (indices.remove(names[index], index)) {
            if (freed == free.length) {
                free = Arrays.copyOf(free, freed * 2);
            }
            free[freed++] = index;
        }
    }

    public int size() {
        return indices.size();
    }
}
