package switchgap.server.platform;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;

/**
 * HUP and TERM. A HUP before anybody listens must not end the process, so the handlers are there before anything else;
 * it is kept until somebody does. The compiler knows the JDK's handler type only with a warning, hence by name.
 */
final class SignalHandlers {
    private Runnable hup;
    private boolean missed;
    private final CountDownLatch term = new CountDownLatch(1);

    SignalHandlers() throws ReflectiveOperationException {
        on("HUP", this::hup);
        on("TERM", term::countDown);
        on("INT", term::countDown);
    }

    /** One at a time, so that the one which began last has read the newest file. */
    private synchronized void hup() {
        missed = hup == null;
        if (hup != null) { hup.run(); }
    }

    /** Runs at each HUP from now on, and now where one came before. */
    synchronized void hup(Runnable then) {
        hup = then;
        if (missed) { hup(); }
    }

    void awaitTerm() throws InterruptedException { term.await(); }

    private static void on(String name, Runnable then) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        InvocationHandler told = (proxy, method, args) -> {
            if (method.getName().equals("handle")) { then.run(); }
            return method.getName().equals("hashCode") ? (Object) System.identityHashCode(proxy)
                : method.getName().equals("equals") ? (Object) (proxy == args[0]) : null;
        };
        Object h = Proxy.newProxyInstance(SignalHandlers.class.getClassLoader(), new Class<?>[] {handler},
            told);
        signal.getMethod("handle", signal, handler).invoke(null,
            signal.getConstructor(String.class).newInstance(name), h);
    }
}
