package switchgap.testing;

import java.lang.reflect.Proxy;
import java.util.function.Consumer;

/** Creates implementations of an interface that only record the arguments of calls. */
public final class RecordingProxy {
  private RecordingProxy() {}

  /**
   * Returns an implementation that ignores every call. Methods return null, so the interface must
   * not have methods that return primitives.
   */
  public static <T> T ignoring(Class<T> type) {
    return recording(type, argument -> {});
  }

  /**
   * Returns an implementation that passes the first argument of each call to the recorder, if there
   * is one. Methods return null, as with {@link #ignoring}.
   */
  public static <T> T recording(Class<T> type, Consumer<Object> recorder) {
    Object proxy =
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (self, method, arguments) -> {
              if (arguments != null) {
                recorder.accept(arguments[0]);
              }
              return null;
            });
    return type.cast(proxy);
  }
}
