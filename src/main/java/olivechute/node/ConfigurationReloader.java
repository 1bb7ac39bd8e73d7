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
 * Reads a running node's configuration again: when SIGHUP asks for it, and when discovery fails while the file is
 * another than the one that was read. The signal may be lost: the virtual machine starts a thread for each and drops it
 * where it gets none, and whoever started the process may have had SIGHUP ignored. A node that misses the move of its
 * discovery would ask the old address for good.
 */
public final class ConfigurationReloader {
    /** A change is left to its signal for so long. */
    private static final long SIGHUP_WAIT_NANOS = 1_000_000_000;

    private final Map<String, String> environment;
    private FileState loadedState; // guarded by this, as the rest
    private FileState changedState; // of a change that discovery's failures brought to light
    private long changeSeenNanos;

    /** What tells one state of a file from another; no clock is asked, as the wall clock may step. */
    private record FileState(FileTime modified, long size, Object fileKey) {}

    /** To be made before the configuration is read for the first time. */
    public ConfigurationReloader(Map<String, String> environment) {
        this.environment = environment;
        this.loadedState = currentFileState();
    }

    /** SIGHUP came. */
    public synchronized void onSighup(Node node) {
        loadedState = currentFileState();
        reload(node);
    }

    /** A call to discovery failed. */
    public synchronized void onDiscoveryFailed(Node node) {
        FileState currentState = currentFileState();
        if (currentState == null || currentState.equals(loadedState)) {
            return;
        }
        if (!currentState.equals(changedState)) {
            changedState = currentState;
            changeSeenNanos = System.nanoTime();
        } else if (System.nanoTime() - changeSeenNanos >= SIGHUP_WAIT_NANOS) {
            Logger.warn("configuration changed and no SIGHUP came: read again, as discovery fails");
            loadedState = currentState;
            reload(node);
        }
    }

    /** A configuration that cannot be used changes nothing but the log; one that cannot be read is tried again. */
    private void reload(Node node) {
        try {
            node.reload(NodeConfig.reload(environment));
        } catch (UnreadableFileException e) {
            loadedState = null; // so that a call to discovery that fails finds it changed
            Logger.error("configuration not read: {}", e.getMessage());
        } catch (InvalidValueException e) {
            Logger.error("configuration not changed: {}", e.getMessage());
        }
    }

    /** The file's state; null if it cannot be told. */
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
