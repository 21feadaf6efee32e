package switchgap.testing;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts what an object of this program holds: the elements of all collections and arrays that it
 * reaches.
 */
public final class ReachableObjects {
  private ReachableObjects() {}

  /** All but what is reached through {@code but}. */
  public static long by(Object root, Object... but) {
    Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
    Collections.addAll(seen, but);
    ArrayDeque<Object> next = new ArrayDeque<>();
    next.add(root);
    long held = 0;
    while (!next.isEmpty()) {
      Object o = next.poll();
      if (!seen.add(o)) {
        continue;
      }
      if (o instanceof Map<?, ?> m) {
        held += m.size();
        m.forEach(
            (k, v) -> {
              push(next, k);
              push(next, v);
            });
      } else if (o instanceof Collection<?> c) {
        held += c.size();
        c.forEach(e -> push(next, e));
      } else if (o instanceof Object[] a) {
        held += a.length;
        for (Object e : a) {
          push(next, e);
        }
      } else if (o.getClass().isArray()) {
        held += Array.getLength(o);
      } else if (o.getClass().getName().startsWith("switchgap.")) {
        for (Class<?> c = o.getClass();
            c != Object.class && c != Record.class && c != null;
            c = c.getSuperclass()) {
          for (Field f : c.getDeclaredFields()) {
            if (!Modifier.isStatic(f.getModifiers())) {
              push(next, get(f, o));
            }
          }
        }
      }
    }
    return held;
  }

  /** A field's value, by its name: for counters that must come back to none. */
  public static Object field(Object o, String name) {
    try {
      return get(o.getClass().getDeclaredField(name), o);
    } catch (NoSuchFieldException e) {
      throw new AssertionError(e);
    }
  }

  private static Object get(Field f, Object o) {
    try {
      f.setAccessible(true);
      return f.get(o);
    } catch (IllegalAccessException e) {
      throw new AssertionError(e);
    }
  }

  private static void push(ArrayDeque<Object> next, Object o) {
    if (o != null && !(o instanceof Enum<?>)) {
      next.add(o);
    }
  }
}
