package olivechute.store.raft;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import olivechute.store.ReplicaAddress;
import olivechute.store.StoreMessages;
import olivechute.store.StoreStateMachine;
import olivechute.store.wire.Command;
import olivechute.store.wire.Reply;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.SnapshotManagementRequest;
import org.apache.ratis.protocol.TransferLeadershipRequest;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;
import org.tinylog.Logger;

/**
 * The Raft server of one replica, from its start to its shutdown. A disk fault shuts a member down; when the disk has
 * recovered, {@link Replica} starts a new one.
 */
final class RaftMember implements AutoCloseable {
    private static final int SNAPSHOT_TIMEOUT_MS = 60_000;
    private static final int TRANSFER_TIMEOUT_MS = 800;

    private final ReplicaSettings settings;
    private final RaftGroup group;
    private final RaftPeerId id;
    private final ClientId clientId = ClientId.randomId();
    private final AtomicLong lastCallId = new AtomicLong();
    private final Supplier<String> diskStatus;
    private final SnapshotStorage snapshots;
    private final RatisStateMachine stateMachine;
    private final RaftServer server;
    private final Path voteFile;
    private volatile long term;
    private CompletableFuture<RaftClientReply> pendingTick = CompletableFuture.completedFuture(null);

    RaftMember(
            ReplicaSettings settings,
            DataDirectory dataDirectory,
            RatisStateMachine.Listener listener,
            Supplier<String> diskStatus)
            throws IOException {
        this.settings = settings;
        this.diskStatus = diskStatus;
        group = RatisConfiguration.group(settings.region(), settings.replicas());
        id = RaftPeerId.valueOf(settings.id());
        voteFile = dataDirectory
                .logDirectory()
                .resolve(group.getGroupId().getUuid().toString())
                .resolve("current")
                .resolve("raft-meta");
        LogTail.truncateTornEntries(voteFile.getParent());
        snapshots = new SnapshotStorage(
                dataDirectory.path().resolve("snapshot.tmp"),
                settings.snapshotEntries(),
                settings.snapshotBytes(),
                this::requestSnapshot);
        stateMachine = new RatisStateMachine(
                new StoreStateMachine(Replica.storeLimits(settings)),
                snapshots,
                System::currentTimeMillis,
                this::addReplicaStatus,
                listener);
        server = RaftServer.newBuilder()
                .setServerId(id)
                .setGroup(group)
                .setStateMachine(stateMachine)
                .setOption(RaftStorage.StartupOption.RECOVER)
                .setProperties(RatisConfiguration.serverProperties(settings, dataDirectory.logDirectory()))
                .build();
    }

    void start() throws IOException {
        server.start();
    }

    private CompletableFuture<?> requestSnapshot() {
        // The last argument, the creation gap, permits a snapshot as soon as one entry was applied since the last one.
        return server.snapshotManagementAsync(SnapshotManagementRequest.newCreate(
                clientId, id, group.getGroupId(), lastCallId.incrementAndGet(), SNAPSHOT_TIMEOUT_MS, 1));
    }

    private Reply addReplicaStatus(Reply reply) {
        return reply.toBuilder()
                .setStatus(reply.getStatus().toBuilder()
                        .setReplica(settings.id())
                        .setLead(leaderId())
                        .setDisk(diskStatus.get()))
                .build();
    }

    private String leaderId() {
        try {
            RaftPeerId leader = server.getDivision(group.getGroupId()).getInfo().getLeaderId();
            return leader == null ? "" : leader.toString();
        } catch (IOException e) {
            return "";
        }
    }

    /** Returns the current term, or the last known term if the server has ended. */
    long term() {
        try {
            term = server.getDivision(group.getGroupId()).getInfo().getCurrentTerm();
        } catch (IOException e) {
            Logger.debug("the member has ended; returning its last term");
        }
        return term;
    }

    private boolean isLeaderReady() {
        try {
            return server.getDivision(group.getGroupId()).getInfo().isLeaderReady();
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether the Raft server has shut itself down, as it does when it cannot persist its data. */
    boolean isClosed() {
        try {
            return server.getDivision(group.getGroupId())
                    .getInfo()
                    .getLifeCycleState()
                    .isClosingOrClosed();
        } catch (IOException e) {
            return true;
        }
    }

    /** Transfers leadership to another replica, trying each for up to {@link #TRANSFER_TIMEOUT_MS}. */
    void transferLeadership() {
        for (ReplicaAddress each : settings.replicas()) {
            if (isLeaderReady() && !each.id().equals(settings.id())) {
                try {
                    server.transferLeadershipAsync(new TransferLeadershipRequest(
                                    clientId,
                                    id,
                                    group.getGroupId(),
                                    lastCallId.incrementAndGet(),
                                    RaftPeerId.valueOf(each.id()),
                                    TRANSFER_TIMEOUT_MS))
                            .get(TRANSFER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                } catch (IOException | ExecutionException | TimeoutException e) {
                    Logger.info("leadership not transferred to {}: {}", each.id(), e.toString());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }

    /**
     * Called every 250 ms by {@link Replica}: expires watches and, on the leader, submits a tick that expires leases.
     */
    void tick() {
        stateMachine.expireWatches();
        if (isLeaderReady() && pendingTick.isDone() && stateMachine.leaseCount() > 0) {
            pendingTick = submit(StoreMessages.tick());
        }
    }

    private CompletableFuture<RaftClientReply> submit(Command command) {
        try {
            return server.submitClientRequestAsync(RaftClientRequest.newBuilder()
                    .setClientId(clientId)
                    .setServerId(id)
                    .setGroupId(group.getGroupId())
                    .setCallId(lastCallId.incrementAndGet())
                    .setMessage(Message.valueOf(UnsafeByteOperations.unsafeWrap(command.toByteArray())))
                    .setType(RaftClientRequest.writeRequestType())
                    .build());
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Repairs a vote file that a full disk left truncated. To be called after this member is closed and before the next
     * one starts.
     */
    void repairVoteFile() throws IOException {
        VoteFile.repair(voteFile, term, settings.id());
    }

    @Override
    public void close() {
        stateMachine.completeWatches();
        try {
            RaftServer.Division division = server.getDivision(group.getGroupId());
            server.close();
            term = division.getInfo().getCurrentTerm();
        } catch (IOException e) {
            Logger.warn("Raft server not closed: {}", e.toString());
        }
        snapshots.close();
    }
}
