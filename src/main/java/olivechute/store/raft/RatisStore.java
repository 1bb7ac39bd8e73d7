package olivechute.store.raft;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.store.ReplicaAddress;
import olivechute.store.Store;
import olivechute.store.StoreMessages;
import olivechute.store.wire.Command;
import olivechute.store.wire.Query;
import olivechute.store.wire.Reply;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.exceptions.AlreadyClosedException;
import org.apache.ratis.protocol.exceptions.StateMachineException;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;

/**
 * A client of the replicated store. It finds the leader by itself and retries within the time-out of each call. The
 * replicas recognize the attempts of one call as the same request, so a write takes effect once. After NOT_REACHED or
 * NO_MAJORITY a write may still take effect, once or not at all, until a minute has passed. A write that depends on a
 * version ({@code putIf}) can be repeated safely, as a second execution is rejected with CONFLICT. Safe for use by
 * several threads.
 */
public final class RatisStore implements Store {
    private static final int MIN_ATTEMPTS = 4; // attempts that fit into a time-out if each of them hangs
    private static final Duration WATCH_SLACK = Duration.ofSeconds(1); // for the reply to arrive after the wait

    private final Duration timeout;
    private final RaftClient callClient;
    private final RaftClient watchClient;

    private RatisStore(Duration timeout, RaftClient callClient, RaftClient watchClient) {
        this.timeout = timeout;
        this.callClient = callClient;
        this.watchClient = watchClient;
    }

    /** Creates a client of replicas whose settings name no region. */
    public static RatisStore connect(List<ReplicaAddress> replicas, Duration timeout) {
        return connect("", replicas, timeout);
    }

    /**
     * Creates a client of these replicas in a region. Each call ends within {@code timeout}, a watch within its wait
     * plus {@code timeout}.
     */
    public static RatisStore connect(String region, List<ReplicaAddress> replicas, Duration timeout) {
        RaftGroup group = RatisConfiguration.group(region, replicas);
        long attemptMs = Math.max(100, timeout.toMillis() / MIN_ATTEMPTS);
        return new RatisStore(
                timeout,
                newClient(group, attemptMs),
                newClient(
                        group,
                        RatisStateMachine.MAX_WATCH_WAIT.plus(WATCH_SLACK).toMillis()));
    }

    private static RaftClient newClient(RaftGroup group, long attemptMs) {
        return RaftClient.newBuilder()
                .setRaftGroup(group)
                .setProperties(RatisConfiguration.clientProperties(attemptMs))
                .setRetryPolicy(new DeadlineRetryPolicy(attemptMs))
                .build();
    }

    @Override
    public Optional<Entry> get(String key) throws StoreException {
        return StoreMessages.entry(query(StoreMessages.get(key)));
    }

    @Override
    public Changes list(String prefix) throws StoreException {
        return StoreMessages.changes(query(StoreMessages.list(prefix)));
    }

    @Override
    public long write(List<Write> writes, List<Fence> fences) throws StoreException {
        return StoreMessages.version(apply(StoreMessages.batch(writes, fences)));
    }

    @Override
    public Changes watch(String prefix, long since, Duration wait) throws StoreException {
        long deadlineNs = System.nanoTime() + wait.toNanos();
        long version = since;
        while (true) {
            Duration remaining = Duration.ofNanos(Math.max(0, deadlineNs - System.nanoTime()));
            Query query = StoreMessages.watch(prefix, version, remaining);
            Changes changes = StoreMessages.changes(call(
                    watchClient,
                    query,
                    timeout.plus(RatisStateMachine.MAX_WATCH_WAIT).plus(WATCH_SLACK),
                    false));
            boolean empty = !changes.complete()
                    && changes.entries().isEmpty()
                    && changes.removed().isEmpty();
            if (!empty || System.nanoTime() - deadlineNs >= 0) {
                return changes;
            }
            version = changes.version();
        }
    }

    @Override
    public Lease acquire(String name, String owner, Duration ttl) throws StoreException {
        return StoreMessages.lease(apply(StoreMessages.acquire(name, owner, ttl)));
    }

    @Override
    public void renew(Lease lease) throws StoreException {
        StoreMessages.version(apply(StoreMessages.renew(lease)));
    }

    @Override
    public void release(Lease lease) throws StoreException {
        StoreMessages.version(apply(StoreMessages.release(lease)));
    }

    /** Sends a command unchanged. */
    public Reply apply(Command command) throws StoreException {
        return call(callClient, command, timeout, true);
    }

    /** Sends a query unchanged. */
    public Reply query(Query query) throws StoreException {
        return call(callClient, query, timeout, false);
    }

    private static Reply call(RaftClient client, MessageLite request, Duration timeout, boolean isWrite)
            throws StoreException {
        Message message = Message.valueOf(UnsafeByteOperations.unsafeWrap(request.toByteArray()));
        DeadlineRetryPolicy.startCall(timeout);
        try {
            RaftClientReply reply =
                    isWrite ? client.io().send(message) : client.io().sendReadOnly(message);
            return Reply.parseFrom(reply.getMessage().getContent().asReadOnlyByteBuffer());
        } catch (InvalidProtocolBufferException e) {
            throw new StoreException(ErrorCode.MALFORMED, "cannot parse the reply", e);
        } catch (StateMachineException e) {
            throw new StoreException(ErrorCode.MALFORMED, "rejected by the leader: " + e.getMessage(), e);
        } catch (AlreadyClosedException e) {
            throw new StoreException(ErrorCode.NOT_REACHED, "the client is closed", e);
        } catch (IOException e) {
            throw DeadlineRetryPolicy.toStoreException(e);
        }
    }

    @Override
    public void close() {
        for (RaftClient each : List.of(callClient, watchClient)) {
            try {
                each.close();
            } catch (IOException e) {
                org.tinylog.Logger.debug("client not closed: {}", e.toString());
            }
        }
    }
}
