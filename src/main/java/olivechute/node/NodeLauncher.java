package olivechute.node;

import java.io.IOException;
import java.util.Map;
import olivechute.config.InvalidValueException;
import olivechute.config.LogSettings;
import olivechute.config.NodeConfig;
import org.tinylog.Logger;

/** Starts the node of a process and connects it with the signals that the process gets. */
public final class NodeLauncher {
    private static final int MAX_CACHED_BUFFER_BYTES = 16 * 1024;

    private NodeLauncher() {}

    /**
     * Runs a node as this environment says, until it is ended; ends the program with 1 on a configuration that it
     * cannot use.
     */
    public static void launch(Map<String, String> environment) {
        // Larger buffers between heap and socket are given back at once: cached, each thread would hold one of a
        // body's size.
        System.setProperty("jdk.nio.maxCachedBufferSize", String.valueOf(MAX_CACHED_BUFFER_BYTES));
        NodeLifecycle lifecycle = new NodeLifecycle();
        ConfigurationReloader reloader = new ConfigurationReloader(environment);
        // Without a handler of ours the virtual machine ends on SIGHUP; one that comes early waits for the node.
        boolean sighupIgnored = ProcessSignals.handle("HUP", () -> lifecycle.whenStarted(reloader::onSighup));
        lifecycle.whenStarted(node -> node.onDiscoveryFailure(() -> reloader.onDiscoveryFailed(node)));
        ProcessSignals.handle("USR2", () -> lifecycle.whenStarted(Node::logStatus));
        try {
            LogSettings.apply(environment);
            if (sighupIgnored) {
                Logger.warn("SIGHUP: ignored, as whoever started this process had it ignored (nohup does): a new"
                        + " configuration counts only once discovery fails");
            }
            lifecycle.start(Runtime.getRuntime()::addShutdownHook, () -> new Node(NodeConfig.load(environment)));
        } catch (InvalidValueException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("LB_LISTEN: cannot listen: " + e.getMessage());
            System.exit(1);
        } catch (RuntimeException | Error e) {
            // Threads of a node that did not come up would keep the process: it must end, so that another can be
            // started.
            Logger.error(e, "cannot start");
            System.exit(1);
        }
    }
}
