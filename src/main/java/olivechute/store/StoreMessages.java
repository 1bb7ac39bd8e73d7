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
 * Converts between the client interface of the store and its protobuf messages. The clock of a command is left unset;
 * the leader sets it with {@link #withClock}. Text that cannot be encoded in UTF-8 is MALFORMED. Methods that read a
 * reply throw if the reply is a rejection.
 */
public final class StoreMessages {
    /** Feature level required by these messages. */
    private static final int FEATURE_LEVEL = 1;

    private StoreMessages() {}

    /** Builds a batch of writes under these fences, which is applied as a whole or not at all. */
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

    /** Builds a command that acquires a lease. */
    public static Command acquire(String name, String owner, Duration ttl) throws StoreException {
        return newCommand()
                .setAcquire(Acquire.newBuilder()
                        .setName(requireEncodable(name))
                        .setOwner(requireEncodable(owner))
                        .setTtlMs(ttl.toMillis()))
                .build();
    }

    /** Builds a command that extends a lease by its time to live. */
    public static Command renew(Store.Lease lease) {
        return newCommand()
                .setRenew(Renew.newBuilder().setSession(lease.session()))
                .build();
    }

    /** Builds a command that ends a lease. */
    public static Command release(Store.Lease lease) {
        return newCommand()
                .setRelease(Release.newBuilder().setSession(lease.session()))
                .build();
    }

    public static Command tick() {
        return newCommand().setTick(Tick.getDefaultInstance()).build();
    }

    /** Builds a command that announces the feature level a replica supports; level 0 removes the replica. */
    public static Command announce(String replica, int supportedLevel) throws StoreException {
        return newCommand()
                .setAnnounce(Announce.newBuilder()
                        .setReplica(requireEncodable(replica))
                        .setKnows(supportedLevel))
                .build();
    }

    public static Command raiseLevel(int level) {
        return newCommand().setRaise(RaiseLevel.newBuilder().setLevel(level)).build();
    }

    /** Returns the command with the leader's clock, in ms since the epoch. */
    public static Command withClock(Command command, long nowMs) {
        return command.toBuilder().setNowMs(nowMs).build();
    }

    public static Query get(String key) throws StoreException {
        return newQuery().setGet(requireEncodable(key)).build();
    }

    public static Query list(String prefix) throws StoreException {
        return newQuery().setList(requireEncodable(prefix)).build();
    }

    /** Builds a query for what changed under a prefix after a version, which waits for the first change. */
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

    /** Builds a rejection; {@code version} is the store's version. */
    public static Reply rejection(ErrorCode kind, String text, long version) {
        return Reply.newBuilder()
                .setVersion(version)
                .setRefusal(Refusal.newBuilder().setKind(kind.name()).setText(text))
                .build();
    }

    /** Builds the rejection that carries a failure to the client. */
    public static Reply rejection(StoreException error, long version) {
        return rejection(error.code(), error.subject(), version);
    }

    /** Returns the reply, or throws the error that it carries if it is a rejection. */
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
                ErrorCode.MALFORMED, "rejection of unknown kind '" + refusal.getKind() + "': " + refusal.getText());
    }

    public static long version(Reply reply) throws StoreException {
        return requireAccepted(reply).getVersion();
    }

    public static Optional<Store.Entry> entry(Reply reply) throws StoreException {
        return requireAccepted(reply).getEntriesList().stream().findFirst().map(StoreMessages::entry);
    }

    /** Returns the changes in a reply; throws if it is a rejection. */
    public static Store.Changes changes(Reply reply) throws StoreException {
        List<Store.Entry> entries = requireAccepted(reply).getEntriesList().stream()
                .map(StoreMessages::entry)
                .toList();
        return new Store.Changes(reply.getVersion(), reply.getWhole(), entries, List.copyOf(reply.getRemovedList()));
    }

    /** Returns the lease in a reply; throws if it is a rejection. */
    public static Store.Lease lease(Reply reply) throws StoreException {
        if (!requireAccepted(reply).hasLease()) {
            throw new StoreException(ErrorCode.MALFORMED, "the reply lacks the requested lease");
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
            throw new StoreException(
                    ErrorCode.MALFORMED, "the text holds an unpaired surrogate and cannot be encoded in UTF-8");
        }
        return text;
    }
}
