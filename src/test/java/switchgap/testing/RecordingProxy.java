package switchgap.testing;

import java.lang.reflect.Proxy;
import java.util.function.Consumer;

/** Implementations of an interface that do nothing but record what they are called with. */
public final class RecordingProxy {
  private RecordingProxy() {}

  /** Ignores every call; methods return null, so none may return a primitive. */
  public static <T> T ignoring(Class<T> type) {
    return recording(type, argument -> {});
  }

  /** Passes the first argument of every call that has one to the recorder, else like ignoring. */
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
