package olivechute.node;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Installs handlers for process signals. The Java platform has no supported API for SIGHUP and SIGUSR2;
 * {@code sun.misc.Signal} is what the JDK keeps for it (module jdk.unsupported).
 */
final class ProcessSignals {
    private ProcessSignals() {}

    /**
     * Runs the task on a JVM signal thread each time the process receives the signal.
     *
     * @param name name of the signal without SIG
     * @return whether the process was started with the signal ignored, so that it will not arrive
     */
    static boolean handle(String name, Runnable task) {
        SignalHandler inherited = Signal.handle(new Signal(name), signal -> task.run());
        return inherited == SignalHandler.SIG_IGN;
    }
}
