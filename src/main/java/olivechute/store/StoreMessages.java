package olivechute.store;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.store.wire.Acquire;
import olivechute.store.wire.Announce;
import olivechute.store.wire.Batch;
import olivechute.store.wire.Command;
import olivechute.store.wire.Fence;
import olivechute.store.wire.Put;
import olivechute.store.wire.Query;
import olivechute.store.wire.RaiseLevel;
import olivechute.store.wire.Refusal;
import olivechute.store.wire.Release;
import olivechute.store.wire.Renew;
import olivechute.store.wire.Reply;
import olivechute.store.wire.Tick;
import olivechute.store.wire.Watch;

/**
 * Between what a client of the store says and the messages that carry it. The clock of commands is left open: the lead
 * stamps it with {@link #stamped}. Text that UTF-8 cannot hold is MALFORMED. What reads a reply throws the refusal that
 * it holds.
 */
public final class StoreMessages {
    /** The feature level that these messages need. */
    private static final int FEATURE_LEVEL = 1;

    private StoreMessages() {}

    /** Writes under these fences, all of them or none. */
    public static Command batch(List<Store.Write> writes, List<Store.Fence> fences) throws StoreException {
        Batch.Builder batch = Batch.newBuilder();
        for (Store.Write write : writes) {
            batch.addPuts(put(write));
        }
        for (Store.Fence fence : fences) {
            batch.addFences(Fence.newBuilder()
                    .setDomain(requireEncodable(fence.domain()))
                    .setNumber(fence.token()));
        }
        return newCommand().setBatch(batch).build();
    }

    /** Takes a lease. */
    public static Command acquire(String name, String owner, Duration ttl) throws StoreException {
        return newCommand()
                .setAcquire(Acquire.newBuilder()
                        .setName(requireEncodable(name))
                        .setOwner(requireEncodable(owner))
                        .setTtlMs(ttl.toMillis()))
                .build();
    }

    /** Prolongs a lease by its time to live. */
    public static Command renew(Store.Lease lease) {
        return newCommand()
                .setRenew(Renew.newBuilder().setSession(lease.session()))
                .build();
    }

    /** Ends a lease. */
    public static Command release(Store.Lease lease) {
        return newCommand()
                .setRelease(Release.newBuilder().setSession(lease.session()))
                .build();
    }

    public static Command tick() {
        return newCommand().setTick(Tick.getDefaultInstance()).build();
    }

    /** {@code knows} 0 strikes the replica off. */
    public static Command announce(String replica, int knownLevel) throws StoreException {
        return newCommand()
                .setAnnounce(Announce.newBuilder()
                        .setReplica(requireEncodable(replica))
                        .setKnows(knownLevel))
                .build();
    }

    public static Command raiseLevel(int level) {
        return newCommand().setRaise(RaiseLevel.newBuilder().setLevel(level)).build();
    }

    /** The command with the lead's clock, ms since the epoch. */
    public static Command withClock(Command command, long nowMs) {
        return command.toBuilder().setNowMs(nowMs).build();
    }

    public static Query get(String key) throws StoreException {
        return newQuery().setGet(requireEncodable(key)).build();
    }

    public static Query list(String prefix) throws StoreException {
        return newQuery().setList(requireEncodable(prefix)).build();
    }

    /** Asks for what changed under a prefix after a version, waiting for the first change. */
    public static Query watch(String prefix, long since, Duration wait) throws StoreException {
        int waitMs = (int) Math.min(Integer.MAX_VALUE, Math.max(0, wait.toMillis()));
        return newQuery()
                .setWatch(Watch.newBuilder()
                        .setPrefix(requireEncodable(prefix))
                        .setSince(since)
                        .setWaitMs(waitMs))
                .build();
    }

    public static Query status() {
        return newQuery().setStatus(true).build();
    }

    /** A reply that refuses; {@code version} is the store's. */
    public static Reply rejection(ErrorCode kind, String text, long version) {
        return Reply.newBuilder()
                .setVersion(version)
                .setRefusal(Refusal.newBuilder().setKind(kind.name()).setText(text))
                .build();
    }

    /** A fault as the reply that carries it to the client. */
    public static Reply rejection(StoreException fault, long version) {
        return rejection(fault.code(), fault.subject(), version);
    }

    /** The same reply, once it is known to refuse nothing. */
    public static Reply requireAccepted(Reply reply) throws StoreException {
        if (!reply.hasRefusal()) {
            return reply;
        }
        Refusal refusal = reply.getRefusal();
        for (ErrorCode kind : ErrorCode.values()) {
            if (kind.name().equals(refusal.getKind())) {
                throw new StoreException(kind, refusal.getText());
            }
        }
        throw new StoreException(
                ErrorCode.MALFORMED, "a refusal of the unknown kind '" + refusal.getKind() + "': " + refusal.getText());
    }

    public static long version(Reply reply) throws StoreException {
        return requireAccepted(reply).getVersion();
    }

    public static Optional<Store.Entry> entry(Reply reply) throws StoreException {
        return requireAccepted(reply).getEntriesList().stream().findFirst().map(StoreMessages::entry);
    }

    /** The changes in a reply, unless it rejects. */
    public static Store.Changes changes(Reply reply) throws StoreException {
        List<Store.Entry> entries = requireAccepted(reply).getEntriesList().stream()
                .map(StoreMessages::entry)
                .toList();
        return new Store.Changes(reply.getVersion(), reply.getWhole(), entries, List.copyOf(reply.getRemovedList()));
    }

    /** The lease in a reply, unless it rejects. */
    public static Store.Lease lease(Reply reply) throws StoreException {
        if (!requireAccepted(reply).hasLease()) {
            throw new StoreException(ErrorCode.MALFORMED, "a reply without the lease that was asked for");
        }
        olivechute.store.wire.Lease lease = reply.getLease();
        return new Store.Lease(
                lease.getName(), lease.getOwner(), lease.getSession(), Duration.ofMillis(lease.getTtlMs()));
    }

    private static Store.Entry entry(olivechute.store.wire.Entry entry) {
        return new Store.Entry(entry.getKey(), entry.getValue().toByteArray(), entry.getVersion());
    }

    private static Put put(Store.Write write) throws StoreException {
        Put.Builder put = Put.newBuilder().setKey(requireEncodable(write.key())).setSession(write.session());
        if (write.value() == null) {
            put.setDelete(true);
        } else {
            put.setValue(ByteString.copyFrom(write.value()));
        }
        return (write.ifVersion() == null ? put : put.setConditional(true).setIfVersion(write.ifVersion())).build();
    }

    private static Command.Builder newCommand() {
        return Command.newBuilder().setLevel(FEATURE_LEVEL);
    }

    private static Query.Builder newQuery() {
        return Query.newBuilder().setLevel(FEATURE_LEVEL);
    }

    private static String requireEncodable(String text) throws StoreException {
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            throw new StoreException(ErrorCode.MALFORMED, "text with half a character pair");
        }
        return text;
    }
}
