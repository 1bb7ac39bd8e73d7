package olivechute.node;

import java.io.IOException;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Holds the node of a process from startup to shutdown. The node listens, and may have accepted requests, before its
 * constructor returns; so signals that arrive meanwhile wait for the start, and the shutdown hook is registered before
 * the start begins.
 */
@SuppressWarnings("FutureReturnValueIgnored") // exceptions of the task are logged by the task
public final class NodeLifecycle {
    /**
     * How long shutdown waits for a start in progress, in ms. A node whose start takes longer has no client that waits
     * for an answer.
     */
    private static final long START_WAIT_MS = 2000;

    /** Creates a node that listens. */
    public interface NodeFactory {
        Node create() throws IOException;
    }

    private final CompletableFuture<Node> startedNode = new CompletableFuture<>();

    /**
     * Starts a node after registering the shutdown hook: {@code addShutdownHook} is given the thread that drains the
     * node.
     */
    public void start(Consumer<Thread> addShutdownHook, NodeFactory factory) throws IOException {
        try {
            addShutdownHook.accept(new Thread(this::drainOnShutdown, "drain"));
            startedNode.complete(factory.create());
        } finally {
            startedNode.cancel(false); // no effect if it is complete; otherwise waiting tasks are dropped
        }
    }

    /**
     * Runs a task with the node: at once if it has started, otherwise when it has, and never if the start fails.
     * Exceptions of the task are logged.
     */
    public void whenStarted(Consumer<Node> task) {
        startedNode.thenAccept(node -> {
            try {
                task.accept(node);
            } catch (RuntimeException | Error e) {
                Logger.error(e, "handling a signal failed");
            }
        });
    }

    private void drainOnShutdown() {
        long shutdownBeganNanos = System.nanoTime();
        try {
            Node node = startedNode.get(START_WAIT_MS, TimeUnit.MILLISECONDS);
            node.drain((System.nanoTime() - shutdownBeganNanos) / 1000);
        } catch (ExecutionException | CancellationException e) {
            return; // the start has reported its error already, and a supervisor reads the last line of output
        } catch (TimeoutException e) {
            System.err.println(
                    "shutdown before the node has started"); // a logger cannot be initialised during shutdown
        } catch (InterruptedException e) {
            Logger.warn("drain interrupted");
        } catch (RuntimeException | Error e) {
            Logger.error(e, "drain failed"); // the process exits even with requests unanswered
        }
    }
}
