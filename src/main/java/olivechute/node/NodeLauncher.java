package olivechute.node;

import java.io.IOException;
import java.util.Map;
import olivechute.config.InvalidValueException;
import olivechute.config.LogSettings;
import olivechute.config.NodeConfig;
import org.tinylog.Logger;

/** Runs {@code serve}: starts the node of this process and installs its signal handlers. */
public final class NodeLauncher {
    private static final int MAX_CACHED_BUFFER_BYTES = 16 * 1024;

    private NodeLauncher() {}

    /**
     * Starts a node configured by these environment variables, which runs until the process is ended. Exits with 1 if
     * the configuration is invalid or the node cannot listen.
     */
    public static void launch(Map<String, String> environment) {
        // Temporary direct buffers above this size are freed at once: cached, each thread would keep one of the size of
        // a request body.
        System.setProperty("jdk.nio.maxCachedBufferSize", String.valueOf(MAX_CACHED_BUFFER_BYTES));
        NodeLifecycle lifecycle = new NodeLifecycle();
        ConfigurationReloader reloader = new ConfigurationReloader(environment);
        // Without a handler the JVM exits on SIGHUP; a SIGHUP during startup is handled once the node has started.
        boolean sighupIgnored = ProcessSignals.handle("HUP", () -> lifecycle.whenStarted(reloader::onSighup));
        lifecycle.whenStarted(node -> node.onDiscoveryFailure(() -> reloader.onDiscoveryFailed(node)));
        ProcessSignals.handle("USR2", () -> lifecycle.whenStarted(Node::logStatus));
        try {
            LogSettings.apply(environment);
            if (sighupIgnored) {
                Logger.warn("SIGHUP: ignored, as the process was started with it ignored (nohup does that): a changed"
                        + " configuration is read only when a call to discovery fails");
            }
            lifecycle.start(Runtime.getRuntime()::addShutdownHook, () -> new Node(NodeConfig.load(environment)));
        } catch (InvalidValueException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("LB_LISTEN: cannot listen: " + e.getMessage());
            System.exit(1);
        } catch (RuntimeException | Error e) {
            // Threads of a partly started node would keep the process alive; it must exit so that another can be
            // started.
            Logger.error(e, "cannot start");
            System.exit(1);
        }
    }
}
