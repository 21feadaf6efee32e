package switchgap.testing;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Set;

/**
 * Counts the elements of all collections and arrays that are reachable from an object of this
 * project. Tests use the number to detect memory that grows without bound.
 */
public final class ReachableObjects {
  private static final String PROJECT_PACKAGE = "switchgap.";

  private final Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Queue<Object> queue = new ArrayDeque<>();
  private long elements;

  private ReachableObjects() {}

  /** Counts the elements reachable from a root, except through the excluded objects. */
  public static long count(Object root, Object... excluded) {
    ReachableObjects search = new ReachableObjects();
    Collections.addAll(search.visited, excluded);
    search.enqueue(root);
    while (!search.queue.isEmpty()) {
      Object next = search.queue.poll();
      if (search.visited.add(next)) {
        search.visit(next);
      }
    }
    return search.elements;
  }

  /** Returns the value of a private field, for example of a counter that must return to zero. */
  public static Object field(Object object, String name) {
    try {
      return read(object.getClass().getDeclaredField(name), object);
    } catch (NoSuchFieldException e) {
      throw new AssertionError(e);
    }
  }

  private void visit(Object object) {
    if (object instanceof Map<?, ?> map) {
      elements += map.size();
      map.keySet().forEach(this::enqueue);
      map.values().forEach(this::enqueue);
    } else if (object instanceof Collection<?> collection) {
      elements += collection.size();
      collection.forEach(this::enqueue);
    } else if (object instanceof Object[] array) {
      elements += array.length;
      Arrays.asList(array).forEach(this::enqueue);
    } else if (object.getClass().isArray()) {
      elements += Array.getLength(object);
    } else if (object.getClass().getName().startsWith(PROJECT_PACKAGE)) {
      enqueueFields(object);
    }
  }

  private void enqueueFields(Object object) {
    Class<?> type = object.getClass();
    while (type != null && type != Object.class && type != Record.class) {
      for (Field field : type.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers())) {
          enqueue(read(field, object));
        }
      }
      type = type.getSuperclass();
    }
  }

  private void enqueue(Object object) {
    if (object != null && !(object instanceof Enum<?>)) {
      queue.add(object);
    }
  }

  private static Object read(Field field, Object object) {
    try {
      field.setAccessible(true);
      return field.get(object);
    } catch (IllegalAccessException e) {
      throw new AssertionError(e);
    }
  }
}
