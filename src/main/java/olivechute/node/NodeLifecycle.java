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
 * One node from the start of its process to the end. It listens, and may have taken requests, before its start is known
 * to be over: so what the system asks meanwhile waits for that, and the end is arranged before the start begins.
 */
@SuppressWarnings("FutureReturnValueIgnored") // what the task throws is logged by the task
public final class NodeLifecycle {
    /** ms for which the end waits for a start that is under way: one that takes longer owes nobody anything. */
    private static final long START_WAIT_MS = 2000;

    /** Makes a node that listens. */
    public interface NodeFactory {
        Node create() throws IOException;
    }

    private final CompletableFuture<Node> startedNode = new CompletableFuture<>();

    /** Starts a node once its end is arranged: {@code atEnd} is given what is to run at the end of the process. */
    public void start(Consumer<Thread> addShutdownHook, NodeFactory factory) throws IOException {
        try {
            addShutdownHook.accept(new Thread(this::drainOnShutdown, "drain"));
            startedNode.complete(factory.create());
        } finally {
            startedNode.cancel(false); // nothing if it is complete; else whoever waits goes on without a node
        }
    }

    /**
     * Has this done with the node: at once if it has started, else as it does, never if it does not. What it throws is
     * logged.
     */
    public void whenStarted(Consumer<Node> task) {
        startedNode.thenAccept(node -> {
            try {
                task.accept(node);
            } catch (RuntimeException | Error e) {
                Logger.error(e, "a signal was not acted upon");
            }
        });
    }

    private void drainOnShutdown() {
        long shutdownBeganNanos = System.nanoTime();
        try {
            Node node = startedNode.get(START_WAIT_MS, TimeUnit.MILLISECONDS);
            node.drain((System.nanoTime() - shutdownBeganNanos) / 1000);
        } catch (ExecutionException | CancellationException e) {
            return; // the start has said why it failed: that is its last word, and a supervisor reads it
        } catch (TimeoutException e) {
            System.err.println("ends before it has started"); // a logger may not begin at a shutdown
        } catch (InterruptedException e) {
            Logger.warn("drain cut short");
        } catch (RuntimeException | Error e) {
            Logger.error(e, "drain failed"); // the process ends, whatever it owes
        }
    }
}
