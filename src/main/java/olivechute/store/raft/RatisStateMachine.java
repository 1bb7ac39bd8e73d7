package olivechute.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import olivechute.error.ErrorCode;
import olivechute.error.FleetException;
import olivechute.error.StoreException;
import olivechute.store.CommandResult;
import olivechute.store.StoreMessages;
import olivechute.store.StoreState;
import olivechute.store.StoreStateMachine;
import olivechute.store.WatchRegistry;
import olivechute.store.wire.Command;
import olivechute.store.wire.Query;
import olivechute.store.wire.Reply;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.StateMachineException;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.SnapshotInfo;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;
import org.apache.ratis.util.LifeCycle;

/**
 * Adapts {@link StoreStateMachine} to the Ratis library: decodes commands and queries, and loads and saves the state as
 * snapshots.
 */
final class RatisStateMachine extends BaseStateMachine {
    /** Maximum time that one call waits for a change; a longer watch takes several calls. */
    static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(2);

    /**
     * Events of the state machine for its replica. Called on threads of the Raft library, which must not be blocked.
     */
    interface Listener {
        void onLeader();

        void onNotLeader();

        void onFollower(RaftPeerId leader);

        /** A snapshot of the leader was installed. */
        void onSnapshotInstalled();

        void onLogFailure(Throwable cause);

        /** No further command is applied, because continuing would let this replica diverge from the others. */
        void onFatalError(FleetException error);
    }

    private final StoreStateMachine stateMachine;
    private final WatchRegistry watches;
    private final SnapshotStorage snapshots;
    private final LongSupplier clockMs;
    private final UnaryOperator<Reply> addReplicaStatus;
    private final Listener listener;
    private volatile StoreState state = StoreState.EMPTY;
    private volatile boolean stopped;

    /** Creates the adapter; {@code addReplicaStatus} adds the fields that only the replica knows to a status reply. */
    RatisStateMachine(
            StoreStateMachine stateMachine,
            SnapshotStorage snapshots,
            LongSupplier clockMs,
            UnaryOperator<Reply> addReplicaStatus,
            Listener listener) {
        this.stateMachine = stateMachine;
        this.snapshots = snapshots;
        this.clockMs = clockMs;
        this.addReplicaStatus = addReplicaStatus;
        this.listener = listener;
        watches = new WatchRegistry(stateMachine.limits(), state);
    }

    /** Returns the number of leases held now. */
    long leaseCount() {
        return stateMachine.query(state, StoreMessages.status()).getStatus().getSessions();
    }

    /** Completes the watches whose deadline has passed. */
    void expireWatches() {
        watches.expire(clockMs.getAsLong());
    }

    /** Completes all watches, since this replica applies no more changes. */
    void completeWatches() {
        watches.expire(Long.MAX_VALUE);
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage storage) throws IOException {
        super.initialize(server, group, storage);
        snapshots.init(storage);
        getLifeCycle().startAndTransition(this::loadSnapshot);
    }

    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    @Override
    public void reinitialize() throws IOException {
        getLifeCycle().startAndTransition(this::loadSnapshot);
        listener.onSnapshotInstalled();
    }

    private void loadSnapshot() throws IOException {
        SnapshotStorage.LoadedSnapshot snapshot = snapshots.load();
        if (snapshot != null) {
            state = snapshot.state();
            setLastAppliedTermIndex(snapshot.lastEntry());
            watches.onChange(state);
        }
    }

    @Override
    public TransactionContext startTransaction(RaftClientRequest request) {
        TransactionContext.Builder transaction =
                TransactionContext.newBuilder().setStateMachine(this).setClientRequest(request);
        try {
            Command command =
                    Command.parseFrom(request.getMessage().getContent().asReadOnlyByteBuffer());
            byte[] stamped =
                    StoreMessages.withClock(command, clockMs.getAsLong()).toByteArray();
            return transaction
                    .setLogData(UnsafeByteOperations.unsafeWrap(stamped))
                    .build();
        } catch (InvalidProtocolBufferException e) {
            return transaction
                    .build()
                    .setException(new StateMachineException("cannot parse the command: " + e.getMessage()));
        }
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        if (stopped) {
            return CompletableFuture.failedFuture(
                    new StateMachineException("the replica has stopped applying commands"));
        }
        Reply reply;
        try {
            Command command = Command.parseFrom(
                    entry.getStateMachineLogEntry().getLogData().asReadOnlyByteBuffer());
            CommandResult result = stateMachine.apply(state, command, entry.getIndex());
            state = result.state();
            reply = result.reply();
        } catch (InvalidProtocolBufferException e) {
            reply = StoreMessages.rejection(
                    ErrorCode.MALFORMED, "cannot parse the command: " + e.getMessage(), state.version());
        } catch (StoreException e) {
            stopped = true;
            listener.onFatalError(e);
            return CompletableFuture.failedFuture(
                    new StateMachineException("the replica has stopped applying commands: " + e.getMessage()));
        }
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        watches.onChange(state);
        snapshots.onApplied(state, TermIndex.valueOf(entry), entry.getSerializedSize());
        return CompletableFuture.completedFuture(toMessage(reply));
    }

    @Override
    public CompletableFuture<Message> query(Message request) {
        Query query;
        try {
            query = Query.parseFrom(request.getContent().asReadOnlyByteBuffer());
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.completedFuture(toMessage(StoreMessages.rejection(
                    ErrorCode.MALFORMED, "cannot parse the query: " + e.getMessage(), state.version())));
        }
        if (query.hasWatch() && query.getLevel() <= stateMachine.supportedLevel()) {
            long waitMs = Math.min(Integer.toUnsignedLong(query.getWatch().getWaitMs()), MAX_WATCH_WAIT.toMillis());
            return watches.register(
                            query.getWatch().getPrefix(), query.getWatch().getSince(), clockMs.getAsLong() + waitMs)
                    .thenApply(RatisStateMachine::toMessage);
        }
        Reply reply = stateMachine.query(state, query);
        return CompletableFuture.completedFuture(
                toMessage(query.hasStatus() && !reply.hasRefusal() ? addReplicaStatus.apply(reply) : reply));
    }

    @Override
    public long takeSnapshot() throws IOException {
        return snapshots.install();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return snapshots.storage();
    }

    @Override
    public SnapshotInfo getLatestSnapshot() {
        return snapshots.storage().getLatestSnapshot();
    }

    @Override
    public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId leader) {
        if (leader != null && !leader.equals(member.getPeerId())) {
            listener.onFollower(leader);
        }
    }

    @Override
    public void notifyLeaderReady() {
        listener.onLeader();
    }

    @Override
    public void notifyNotLeader(Collection<TransactionContext> pending) {
        listener.onNotLeader();
    }

    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto failed) {
        listener.onLogFailure(cause);
    }

    static Message toMessage(Reply reply) {
        ByteString bytes = UnsafeByteOperations.unsafeWrap(reply.toByteArray());
        return Message.valueOf(bytes);
    }
}
