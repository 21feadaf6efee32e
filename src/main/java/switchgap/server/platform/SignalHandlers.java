package switchgap.server.platform;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;

/**
 * Handlers of SIGHUP, SIGTERM and SIGINT. They are installed before anything else, as an unhandled
 * SIGHUP would end the process; one that comes before there is a listener is delivered to it later.
 * The JDK's handler type is used by name, as the compiler warns of it.
 */
final class SignalHandlers {
  private static final String SIGNAL_TYPE = "sun.misc.Signal";
  private static final String HANDLER_TYPE = "sun.misc.SignalHandler";

  private final CountDownLatch termination = new CountDownLatch(1);
  private Runnable hangupListener;
  private boolean hangupMissed;

  /** Installs the handlers. */
  SignalHandlers() throws ReflectiveOperationException {
    install("HUP", this::hangup);
    install("TERM", termination::countDown);
    install("INT", termination::countDown);
  }

  /** Serialized, so that the listener which starts last reads the newest file. */
  private synchronized void hangup() {
    hangupMissed = hangupListener == null;
    if (hangupListener != null) {
      hangupListener.run();
    }
  }

  /** Runs the listener at each SIGHUP from now on, and at once if one came before. */
  synchronized void onHangup(Runnable listener) {
    hangupListener = listener;
    if (hangupMissed) {
      hangup();
    }
  }

  /** Waits for SIGTERM or SIGINT. */
  void awaitTermination() throws InterruptedException {
    termination.await();
  }

  private static void install(String signalName, Runnable action)
      throws ReflectiveOperationException {
    Class<?> signalType = Class.forName(SIGNAL_TYPE);
    Class<?> handlerType = Class.forName(HANDLER_TYPE);
    InvocationHandler invocations =
        (proxy, method, arguments) -> invoke(proxy, method, arguments, action);
    Object handler =
        Proxy.newProxyInstance(
            SignalHandlers.class.getClassLoader(), new Class<?>[] {handlerType}, invocations);
    Object signal = signalType.getConstructor(String.class).newInstance(signalName);
    signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
  }

  /** Implements the handler's method and those of {@code Object}. */
  private static Object invoke(Object proxy, Method method, Object[] arguments, Runnable action) {
    String name = method.getName();
    if (name.equals("handle")) {
      action.run();
      return null;
    }
    if (name.equals("hashCode")) {
      return System.identityHashCode(proxy);
    }
    if (name.equals("equals")) {
      return proxy == arguments[0];
    }
    return null;
  }
}
