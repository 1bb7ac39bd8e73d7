package olivechute.proxy;

/**
 * Source of the endpoint list: at most one watch is active, and its updates are posted to the event loop as events.
 * Called on the event loop.
 */
public interface EndpointListSource {
    /** Starts the watch, or restarts it after a failure. */
    void watch();
}
