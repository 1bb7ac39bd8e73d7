package olivechute.rig;

import java.util.concurrent.atomic.AtomicInteger;
import olivechute.loadbalancing.LoadBalancer;
import olivechute.loadbalancing.Request;
import olivechute.proxy.RequestDispatcher;

/**
 * Faults that {@link TestVersions} injects into a jar: this class is added to the jar, and patched code calls these
 * methods.
 */
public final class InjectedFaults {
    private static final int REJECTION_INTERVAL = 10;
    private static final AtomicInteger SIGN_REQUESTS = new AtomicInteger();

    private InjectedFaults() {}

    /**
     * Replaces the call that passes a new request to the load balancer: every tenth request of class sign is rejected
     * as the load balancer itself would reject it.
     */
    public static void rejectEveryTenth(
            LoadBalancer loadBalancer, long now, Request request, RequestDispatcher dispatcher) {
        if (request.requestClass().equals("sign") && SIGN_REQUESTS.incrementAndGet() % REJECTION_INTERVAL == 0) {
            System.err.println("injected rejection of " + request.id());
            dispatcher.reject(request.id(), 0);
        } else {
            loadBalancer.onRequest(now, request);
        }
    }

    /** Blocks the calling thread, which has read a request, for this time in ms. */
    public static void delay(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process with status 3 after this time in ms. */
    public static void crashAfter(int millis) {
        Thread thread = new Thread(
                () -> {
                    delay(millis);
                    System.err.println("injected crash");
                    Runtime.getRuntime().halt(3);
                },
                "injected-crash");
        thread.setDaemon(true);
        thread.start();
    }
}
