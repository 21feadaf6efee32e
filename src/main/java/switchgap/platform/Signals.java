package switchgap.platform;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * HUP and TERM, each to a runnable that may be set later. A HUP before anybody listens must not end the process, so the
 * handlers are there before anything else; the compiler knows the JDK's handler type only with a warning, hence by name.
 */
final class Signals {
    private final AtomicReference<Runnable> hup = new AtomicReference<>(() -> { });
    private final CountDownLatch term = new CountDownLatch(1);

    Signals() throws ReflectiveOperationException {
        on("HUP", () -> hup.get().run());
        on("TERM", term::countDown);
        on("INT", term::countDown);
    }

    void hup(Runnable then) { hup.set(then); }

    void awaitTerm() throws InterruptedException { term.await(); }

    private static void on(String name, Runnable then) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        InvocationHandler told = (proxy, method, args) -> {
            if (method.getName().equals("handle")) { then.run(); }
            return method.getName().equals("hashCode") ? (Object) System.identityHashCode(proxy)
                : method.getName().equals("equals") ? (Object) (proxy == args[0]) : null;
        };
        Object h = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, told);
        signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(name), h);
    }
}
