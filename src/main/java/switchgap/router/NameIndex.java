package switchgap.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Names to small indices and back; a released index is handed out again. */
final class NameIndex {
    private final Map<String, Integer> indices = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();

    int find(String name) {
        return indices.getOrDefault(name, -1);
    }

    int add(String name) {
        Integer known = indices.get(name);
        if (known != null) { return known; }
        int i = free.isEmpty() ? names.size() : free.remove(free.size() - 1);
        if (i == names.size()) { names.add(name); } else { names.set(i, name); }
        indices.put(name, i);
        return i;
    }

    String name(int index) {
        return names.get(index);
    }

    void release(int index) {
        if (indices.remove(names.get(index), index)) { free.add(index); }
    }

    int size() {
        return indices.size();
    }

    /** The same number at every router for the same name: FNV-1a, then mixed. */
    static long mark(String name) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            h = (h ^ name.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
        return (h ^ (h >>> 33)) & 0xffffffffffL;
    }
}
