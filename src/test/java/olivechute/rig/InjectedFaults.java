package olivechute.rig;

import java.util.concurrent.atomic.AtomicInteger;
import olivechute.loadbalancing.LoadBalancer;
import olivechute.loadbalancing.Request;
import olivechute.proxy.RequestDispatcher;

/**
 * What {@link Versions} puts into a program: its class goes into the jar, and calls of the program's own are led here.
 */
public final class InjectedFaults {
    private static final int REJECTION_INTERVAL = 10;
    private static final AtomicInteger SIGN_REQUESTS = new AtomicInteger();

    private InjectedFaults() {}

    /**
     * In place of handing a new stream to the module: every tenth of class sign is refused as the module itself would
     * refuse it.
     */
    public static void rejectEveryTenth(LoadBalancer module, long now, Request request, RequestDispatcher dispatcher) {
        if (request.requestClass().equals("sign") && SIGN_REQUESTS.incrementAndGet() % REJECTION_INTERVAL == 0) {
            System.err.println("planted refusal of " + request.id());
            dispatcher.reject(request.id(), 0);
        } else {
            module.onRequest(now, request);
        }
    }

    /** Holds up the thread that read a job. */
    public static void delay(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process with status 3 that long after. */
    public static void crashAfter(int millis) {
        Thread thread = new Thread(
                () -> {
                    delay(millis);
                    System.err.println("planted crash");
                    Runtime.getRuntime().halt(3);
                },
                "planted");
        thread.setDaemon(true);
        thread.start();
    }
}
