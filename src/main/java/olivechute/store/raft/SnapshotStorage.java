package olivechute.store.raft;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import olivechute.error.DiskException;
import olivechute.error.ErrorCode;
import olivechute.store.SnapshotCodec;
import olivechute.store.StoreState;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.raftlog.RaftLog;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.util.MD5FileUtil;
import org.tinylog.Logger;

/**
 * Takes and loads snapshots. The state is immutable, so writing it does not block the commands that follow: after a
 * number of log entries or bytes a dedicated thread writes the state to a temporary file and syncs it to disk; then the
 * Raft server is asked to take a snapshot, which only renames the finished file.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a snapshot that failed is retried when the next one is due
final class SnapshotStorage implements AutoCloseable {
    /** A state loaded from disk, and the last log entry in it. */
    record LoadedSnapshot(StoreState state, TermIndex lastEntry) {}

    private record WrittenSnapshot(Path file, MD5Hash digest, TermIndex lastEntry) {}

    private final Path temporaryFile;
    private final long entryInterval;
    private final long byteInterval;
    private final Supplier<CompletableFuture<?>> requestSnapshot;
    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final ExecutorService writer = Executors.newSingleThreadExecutor(SnapshotStorage::newThread);
    private final AtomicBoolean inProgress = new AtomicBoolean();
    private long bytesSinceSnapshot; // bytes of commands applied since the last snapshot was started
    private volatile WrittenSnapshot pending;
    private volatile long lastIndex = RaftLog.INVALID_LOG_INDEX;

    /**
     * Creates the storage. A snapshot is due after {@code entryInterval} log entries or {@code byteInterval} bytes of
     * them; {@code requestSnapshot} asks the Raft server to take it.
     */
    SnapshotStorage(
            Path temporaryFile, long entryInterval, long byteInterval, Supplier<CompletableFuture<?>> requestSnapshot) {
        this.temporaryFile = temporaryFile;
        this.entryInterval = entryInterval;
        this.byteInterval = byteInterval;
        this.requestSnapshot = requestSnapshot;
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "snapshot");
        thread.setDaemon(true);
        return thread;
    }

    void init(RaftStorage raftStorage) throws IOException {
        storage.init(raftStorage);
    }

    SimpleStateMachineStorage storage() {
        return storage;
    }

    /**
     * Loads the newest snapshot, or returns null if there is none. Fails with DATA_CORRUPT as the cause if the file is
     * not what was written.
     */
    LoadedSnapshot load() throws IOException {
        SingleFileSnapshotInfo info = storage.loadLatestSnapshot();
        if (info == null) {
            return null;
        }
        Path file = info.getFile().getPath();
        MD5Hash digest = info.getFile().getFileDigest();
        if (digest != null && !digest.equals(MD5FileUtil.computeMd5ForFile(file.toFile()))) {
            throw new RatisExceptionAdapter(
                    new DiskException(ErrorCode.DATA_CORRUPT, file.getFileName() + " does not match its digest"));
        }
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
            StoreState state = SnapshotCodec.read(in);
            lastIndex = info.getIndex();
            return new LoadedSnapshot(state, TermIndex.valueOf(info.getTerm(), info.getIndex()));
        } catch (DiskException e) {
            throw new RatisExceptionAdapter(e);
        }
    }

    /** Starts a snapshot if one is due. Called by the thread that applies commands. */
    void onApplied(StoreState state, TermIndex entry, long entryBytes) {
        bytesSinceSnapshot += entryBytes;
        if ((entry.getIndex() - lastIndex < entryInterval && bytesSinceSnapshot < byteInterval)
                || !inProgress.compareAndSet(false, true)) {
            return;
        }
        bytesSinceSnapshot = 0;
        try {
            writer.execute(() -> write(state, entry));
        } catch (RejectedExecutionException e) {
            inProgress.set(false); // closed in the meantime
        }
    }

    private void write(StoreState state, TermIndex lastEntry) {
        try {
            try (FileChannel channel = FileChannel.open(
                            temporaryFile,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.TRUNCATE_EXISTING,
                            StandardOpenOption.WRITE);
                    OutputStream out = new BufferedOutputStream(Channels.newOutputStream(channel))) {
                SnapshotCodec.write(state, out);
                channel.force(true);
            }
            pending = new WrittenSnapshot(
                    temporaryFile, MD5FileUtil.computeMd5ForFile(temporaryFile.toFile()), lastEntry);
            requestSnapshot.get().whenComplete((reply, failure) -> {
                if (pending != null) { // not taken; retried when the next snapshot is due
                    pending = null;
                    inProgress.set(false);
                }
            });
        } catch (IOException e) {
            Logger.error("cannot write the snapshot at index {}: {}", lastEntry.getIndex(), e.toString());
            inProgress.set(false);
        }
    }

    /** Moves a written snapshot to its final place; returns the index of the newest snapshot. */
    long install() throws IOException {
        WrittenSnapshot snapshot = pending;
        if (snapshot == null) {
            return lastIndex;
        }
        pending = null;
        try {
            Path file = storage.getSnapshotFile(snapshot.lastEntry.getTerm(), snapshot.lastEntry.getIndex())
                    .toPath();
            MD5FileUtil.saveMD5File(file.toFile(), snapshot.digest);
            Files.move(snapshot.file, file, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel directory = FileChannel.open(file.getParent())) {
                directory.force(true);
            }
            storage.updateLatestSnapshot(
                    new SingleFileSnapshotInfo(new FileInfo(file, snapshot.digest), snapshot.lastEntry));
            lastIndex = Math.max(lastIndex, snapshot.lastEntry.getIndex());
            return lastIndex;
        } finally {
            inProgress.set(false);
        }
    }

    @Override
    public void close() {
        writer.shutdownNow();
    }
}
