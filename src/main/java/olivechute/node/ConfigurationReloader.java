package olivechute.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import olivechute.config.InvalidValueException;
import olivechute.config.NodeConfig;
import olivechute.config.UnreadableFileException;
import org.tinylog.Logger;

/**
 * Reloads the configuration of a running node on SIGHUP, and also when a call to discovery fails and the file has
 * changed since it was loaded. The second path is needed because a SIGHUP can be lost: the JVM starts a thread for each
 * signal and drops the signal if it gets none, and the process may have been started with SIGHUP ignored. Without it, a
 * node that misses a change of the discovery address would call the old address forever.
 */
public final class ConfigurationReloader {
    /**
     * How long a changed file waits for its SIGHUP before a failed discovery call triggers the reload, in nanoseconds.
     */
    private static final long SIGHUP_WAIT_NANOS = 1_000_000_000;

    private final Map<String, String> environment;
    private FileState loadedState; // guarded by this, as are the fields below
    private FileState changedState; // state of a changed file first seen after a failed discovery call
    private long changeSeenNanos;

    /**
     * Attributes that tell two versions of the file apart. Compared for equality only and never with the current time,
     * as the wall clock may step.
     */
    private record FileState(FileTime modified, long size, Object fileKey) {}

    /** Must be created before the configuration is loaded for the first time. */
    public ConfigurationReloader(Map<String, String> environment) {
        this.environment = environment;
        this.loadedState = currentFileState();
    }

    /** Reloads the configuration after a SIGHUP. */
    public synchronized void onSighup(Node node) {
        loadedState = currentFileState();
        reload(node);
    }

    /**
     * Called after each failed call to discovery; reloads if the file has been changed for {@link #SIGHUP_WAIT_NANOS}.
     */
    public synchronized void onDiscoveryFailed(Node node) {
        FileState currentState = currentFileState();
        if (currentState == null || currentState.equals(loadedState)) {
            return;
        }
        if (!currentState.equals(changedState)) {
            changedState = currentState;
            changeSeenNanos = System.nanoTime();
        } else if (System.nanoTime() - changeSeenNanos >= SIGHUP_WAIT_NANOS) {
            Logger.warn("configuration changed without a SIGHUP and calls to discovery fail: reading it again");
            loadedState = currentState;
            reload(node);
        }
    }

    /**
     * Applies the new configuration. An invalid one is only logged; one that cannot be read is also tried again later.
     */
    private void reload(Node node) {
        try {
            node.reload(NodeConfig.reload(environment));
        } catch (UnreadableFileException e) {
            loadedState = null; // the next failed discovery call then finds the file changed and tries again
            Logger.error("configuration not read: {}", e.getMessage());
        } catch (InvalidValueException e) {
            Logger.error("configuration not changed: {}", e.getMessage());
        }
    }

    /** Returns the attributes of the configuration file, or null if they cannot be read. */
    private FileState currentFileState() {
        String file = environment.get(NodeConfig.FILE_VARIABLE);
        try {
            BasicFileAttributes attributes =
                    file == null ? null : Files.readAttributes(Path.of(file), BasicFileAttributes.class);
            return attributes == null
                    ? null
                    : new FileState(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException | InvalidPathException e) {
            return null;
        }
    }
}
