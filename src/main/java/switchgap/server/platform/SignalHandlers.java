package switchgap.server.platform;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;

/**
 * Handles SIGHUP, SIGTERM and SIGINT. The handlers are installed first at startup, as an unhandled
 * SIGHUP would terminate the process; a SIGHUP that arrives before a listener is set is delivered
 * to it later. The JDK's signal classes are loaded by name, as the compiler warns about direct
 * references to them.
 */
final class SignalHandlers {
  private static final String SIGNAL_TYPE = "sun.misc.Signal";
  private static final String HANDLER_TYPE = "sun.misc.SignalHandler";

  private final CountDownLatch termination = new CountDownLatch(1);
  private Runnable hangupListener;
  private boolean isHangupPending;

  /** Installs the handlers. */
  SignalHandlers() throws ReflectiveOperationException {
    install("HUP", this::hangupReceived);
    install("TERM", termination::countDown);
    install("INT", termination::countDown);
  }

  /** Synchronized, so that the last run of the listener reads the newest file. */
  private synchronized void hangupReceived() {
    isHangupPending = hangupListener == null;
    if (hangupListener != null) {
      hangupListener.run();
    }
  }

  /** Runs the listener on each SIGHUP from now on, and immediately if one arrived before. */
  synchronized void onHangup(Runnable listener) {
    hangupListener = listener;
    if (isHangupPending) {
      hangupReceived();
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

  /** Implements the methods of the signal handler interface and of {@code Object}. */
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
