package org.chervillift.runtime.signals;

import java.lang.reflect.Proxy;
import org.chervillift.api.Checks;

/** Handles signals that would end the process. */
public final class Signals {

    private Signals() {}

    /**
     * Runs an action at each signal of a name, as {@code HUP}, in place of the default.
     *
     * <p>The classes that the JDK has for this are not part of the platform's specification, so
     * they are reached by name.
     *
     * @return whether the JDK could do it
     */
    public static boolean handle(String name, Runnable action) {
        Checks.notBlank("name", name);
        Checks.notNull("action", action);
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            Signals.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, args) -> {
                                if (method.getName().equals("handle")) {
                                    action.run();
                                }
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            return true;
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
