package olivechute.store.raft;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import olivechute.error.DiskException;
import olivechute.error.ErrorCode;
import olivechute.error.FleetException;
import olivechute.error.SettingsException;
import olivechute.error.StoreException;
import olivechute.store.StoreLimits;
import olivechute.store.StoreMessages;
import olivechute.store.StoreStateMachine;
import org.apache.ratis.protocol.RaftPeerId;
import org.tinylog.Logger;

/**
 * One replica of the replicated store: acquires its data directory, runs its Raft member and reports leadership. Leaves
 * the group on a disk fault and rejoins it on recovery. {@link #terminated} completes when the replica cannot continue
 * or is closed.
 */
@SuppressWarnings(
        "FutureReturnValueIgnored") // the periodic tasks run until the replica is closed, and log what they throw
public final class Replica implements AutoCloseable {
    private static final int TICK_MS = 250;
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(5);

    private final ReplicaSettings settings;
    private final Consumer<String> eventLines;
    private final CopyOnWriteArrayList<Consumer<Boolean>> leadershipListeners = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService eventExecutor = newExecutor("events");
    private final ScheduledExecutorService diskExecutor = newExecutor("disk");
    private final Thread announcer = new Thread(this::announceLevel, "announce");
    private final CompletableFuture<FleetException> terminated = new CompletableFuture<>();
    private DataDirectory dataDirectory;
    private DiskMonitor diskMonitor;
    private volatile RaftMember member;
    private RaftMember closedMember; // member closed on the last disk fault; null if there was none
    private volatile boolean isLeader;

    /** Creates a replica; {@code eventLines} receives a line for each event. */
    public Replica(ReplicaSettings settings, Consumer<String> eventLines) {
        this.settings = settings;
        this.eventLines = line -> eventLines.accept("replica " + settings.id() + " " + line);
    }

    private static ScheduledExecutorService newExecutor(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Registers a listener that is called with true when this replica becomes leader and with false when it no longer
     * is. Calls come one at a time from the event thread, which must not be blocked for long, except for the call that
     * {@link #close} makes on the caller's thread.
     */
    public void onLeadershipChange(Consumer<Boolean> listener) {
        leadershipListeners.add(listener);
    }

    /**
     * Acquires the data directory and starts to serve, or waits until the disk has room. Fails with DATA_IN_USE,
     * DATA_FOREIGN, DATA_CORRUPT or DISK_BROKEN.
     */
    public void start() throws FleetException {
        dataDirectory = DataDirectory.acquire(
                settings.dataDirectory(),
                settings.id() + " of group "
                        + RatisConfiguration.group(settings.region(), settings.replicas())
                                .getGroupId()
                                .getUuid());
        diskMonitor = new DiskMonitor(
                new DiskProbe(settings.dataDirectory(), settings.segmentBytes()),
                settings.quotaBytes(),
                this::onDiskChange);
        try {
            if (diskMonitor.check()) {
                startMember();
            }
        } catch (FleetException e) {
            dataDirectory.close();
            throw e;
        }
        eventExecutor.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        diskExecutor.scheduleWithFixedDelay(this::checkDisk, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        announcer.setDaemon(true);
        announcer.start();
    }

    private void startMember() throws FleetException {
        try {
            if (closedMember != null) {
                closedMember.repairVoteFile();
            }
            RaftMember newMember =
                    new RaftMember(settings, dataDirectory, new MemberListener(), diskMonitor::statusText);
            member = newMember;
            newMember.start();
            eventLines.accept("serves on " + settings.self().address());
        } catch (IOException | RuntimeException e) {
            throw toStartFailure(e); // the library's validation of stored data throws unchecked exceptions
        }
    }

    /**
     * Returns the exception for a failed start; a failure of unknown cause counts as corrupt data, the usual reason for
     * a failed read.
     */
    private FleetException toStartFailure(Exception failure) {
        for (Throwable each = failure; each != null; each = each.getCause()) {
            if (each instanceof BindException) {
                return new SettingsException(
                        ErrorCode.SETTINGS_INVALID,
                        "another process listens on " + settings.self().address(),
                        failure);
            }
        }
        FleetException adapted = RatisExceptionAdapter.findException(failure);
        boolean diskFull = DiskHealth.errorCodeOf(failure) == ErrorCode.DISK_FULL;
        return adapted != null
                ? adapted
                : new DiskException(
                        diskFull ? ErrorCode.DISK_FULL : ErrorCode.DATA_CORRUPT,
                        "data directory " + dataDirectory.path() + ": " + failure,
                        failure);
    }

    private void checkDisk() {
        RaftMember current = member;
        if (current != null && current.isClosed()) {
            diskMonitor.writeFailed(new DiskException(ErrorCode.DISK_BROKEN, "the Raft server shut itself down"));
        } else {
            diskMonitor.check();
        }
    }

    /** Leaves the group on a fault, or rejoins it on recovery. Runs on the disk thread. */
    private void onDiskChange(ErrorCode error) {
        if (member == null && error == null) {
            eventLines.accept("disk: well");
            try {
                startMember();
            } catch (FleetException e) {
                leaveGroup();
                if (e.code() == ErrorCode.DISK_FULL) {
                    diskExecutor.execute(() -> diskMonitor.writeFailed(e));
                } else {
                    terminated.complete(e);
                }
            }
        } else if (error != null) {
            eventLines.accept("disk: " + DiskHealth.describe(error));
            leaveGroup();
        }
    }

    private void leaveGroup() {
        RaftMember current = member;
        if (current != null) {
            current.transferLeadership();
            eventExecutor.execute(() -> setLeader(false));
            current.close();
            closedMember = current;
            member = null;
        }
    }

    private void tick() {
        RaftMember current = member;
        if (current != null) {
            current.tick();
        }
    }

    /** Announces the feature level that this program supports, retrying until the group is reachable. */
    private void announceLevel() {
        try (RatisStore store = RatisStore.connect(settings.region(), settings.replicas(), ANNOUNCE_TIMEOUT)) {
            while (!terminated.isDone()) {
                try {
                    StoreMessages.version(
                            store.apply(StoreMessages.announce(settings.id(), StoreStateMachine.SUPPORTED_LEVEL)));
                    return;
                } catch (StoreException e) {
                    if (e.code() != ErrorCode.NO_MAJORITY && e.code() != ErrorCode.NOT_REACHED) {
                        Logger.warn("feature level not announced: {}", e.getMessage());
                        return;
                    }
                }
            }
        }
    }

    /** Returns whether this replica is the leader and has applied every write that was acknowledged before. */
    public boolean isLeader() {
        return isLeader;
    }

    /** Completes with the failure once the replica cannot continue, or with null once it is closed. */
    public CompletableFuture<FleetException> terminated() {
        return terminated;
    }

    private void setLeader(boolean leading) {
        if (isLeader != leading) {
            isLeader = leading;
            leadershipListeners.forEach(each -> each.accept(leading));
        }
    }

    private final class MemberListener implements RatisStateMachine.Listener {
        @Override
        public void onLeader() {
            eventExecutor.execute(() -> {
                RaftMember current = member;
                if (current != null) {
                    eventLines.accept("leads term " + current.term());
                    setLeader(true);
                }
            });
        }

        @Override
        public void onNotLeader() {
            eventExecutor.execute(() -> setLeader(false));
        }

        @Override
        public void onFollower(RaftPeerId leader) {
            eventExecutor.execute(() -> {
                setLeader(false);
                eventLines.accept("follows " + leader);
            });
        }

        @Override
        public void onSnapshotInstalled() {
            eventExecutor.execute(() -> eventLines.accept("caught up from a snapshot"));
        }

        @Override
        public void onLogFailure(Throwable cause) {
            Logger.error("Raft log failed: {}", String.valueOf(cause));
            diskExecutor.execute(() -> diskMonitor.writeFailed(cause));
        }

        @Override
        public void onFatalError(FleetException error) {
            terminated.complete(error);
        }
    }

    /** Returns the limits of the store according to the settings. */
    static StoreLimits storeLimits(ReplicaSettings settings) {
        StoreLimits defaults = StoreLimits.DEFAULTS;
        return new StoreLimits(
                settings.maxValueBytes(),
                defaults.maxKeyBytes(),
                defaults.maxBatchSize(),
                settings.maxKeys(),
                settings.maxTotalBytes(),
                settings.maxLeases(),
                defaults.maxReplicas(),
                defaults.maxHistoryKeys(),
                settings.maxWatches());
    }

    /** Transfers leadership to another replica and shuts down. */
    @Override
    public void close() {
        terminated.complete(null);
        diskExecutor.shutdownNow();
        eventExecutor.shutdownNow();
        RaftMember current = member;
        if (current != null) {
            current.transferLeadership();
            current.close();
        }
        setLeader(false);
        if (dataDirectory != null) {
            dataDirectory.close();
        }
    }
}
