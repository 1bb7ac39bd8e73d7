package olivechute.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.store.Store.Fence;
import olivechute.store.Store.Lease;
import olivechute.store.Store.Write;
import olivechute.store.wire.Command;
import olivechute.store.wire.Query;
import olivechute.store.wire.Refusal;
import olivechute.store.wire.Reply;
import org.junit.jupiter.api.Test;

/** Tests single rules of the state machine, and groups whose replicas run different versions. */
@SuppressWarnings("LiteProtoToString") // only printed when a check fails
class StoreStateMachineTest {
    private static final Duration LEASE_TTL = Duration.ofMillis(100);
    private static final int UNKNOWN_FIELD_NUMBER = 99;

    private StoreStateMachine stateMachine = new StoreStateMachine(StoreLimits.DEFAULTS);
    private StoreState state = StoreState.EMPTY;
    private long clockMs;

    private Reply apply(Command command) throws StoreException {
        CommandResult result = stateMachine.apply(state, StoreMessages.withClock(command, clockMs), state.index() + 1);
        state = result.state();
        return result.reply();
    }

    private Reply write(List<Write> writes, Fence... fences) throws StoreException {
        return apply(StoreMessages.batch(writes, List.of(fences)));
    }

    private Lease acquire(String name, String owner) throws StoreException {
        return StoreMessages.lease(apply(StoreMessages.acquire(name, owner, LEASE_TTL)));
    }

    private void assertRejected(ErrorCode kind, Reply reply) {
        assertEquals(
                kind,
                assertThrows(StoreException.class, () -> StoreMessages.requireAccepted(reply), reply.toString())
                        .code());
    }

    /** Returns the message with one more length-delimited field of an unknown number. */
    private static byte[] withUnknownField(byte[] message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(message);
        out.writeBytes(new byte[] {
            (byte) ((UNKNOWN_FIELD_NUMBER << 3 & 0x7f) | 0x80 | 2), (byte) (UNKNOWN_FIELD_NUMBER >> 4), 1, 7
        });
        return out.toByteArray();
    }

    @Test
    void conflictReportsStoredVersionAndRejectsWholeBatch() throws Exception {
        long version = write(List.of(Write.put("a", new byte[1]))).getVersion();
        Reply reply = write(List.of(Write.put("b", new byte[1]), Write.putIf("a", new byte[2], version + 7)));
        assertRejected(ErrorCode.CONFLICT, reply);
        assertEquals(version, reply.getRefusal().getVersion());
        assertTrue(state.entries().get("b") == null);
        Reply absentReply = write(List.of(Write.putIf("c", new byte[1], version)));
        assertRejected(ErrorCode.CONFLICT, absentReply);
        assertEquals(0, absentReply.getRefusal().getVersion());
    }

    @Test
    void acquiringAgainAsSameOwnerStartsNewSession() throws Exception {
        Lease first = acquire("lead", "x");
        write(List.of(new Write("of/lead", new byte[1], null, first.session())), first.fence());
        Lease second = acquire("lead", "x");
        assertTrue(second.session() > first.session());
        assertTrue(state.entries().isEmpty());
        assertRejected(ErrorCode.STALE_FENCE, write(List.of(Write.put("a", new byte[1])), first.fence()));
        assertRejected(ErrorCode.SESSION_ENDED, apply(StoreMessages.renew(first)));
        assertRejected(ErrorCode.SESSION_ENDED, write(List.of(new Write("k", new byte[1], null, first.session()))));
        write(List.of(Write.put("a", new byte[1])), second.fence());
        assertEquals(1, state.entries().size());
    }

    @Test
    void commandThatExpiresLeaseRejectsItsFence() throws Exception {
        Lease lease = acquire("lead", "x");
        clockMs += LEASE_TTL.toMillis();
        assertRejected(ErrorCode.SESSION_ENDED, write(List.of(Write.put("a", new byte[1])), lease.fence()));
        assertRejected(ErrorCode.SESSION_ENDED, write(List.of(), new Fence("lead", lease.session() + 1)));
        assertRejected(ErrorCode.SESSION_ENDED, write(List.of(), new Fence("nobody's", 1)));
    }

    @Test
    void clockIsMonotonic() throws Exception {
        clockMs = 1000;
        Lease lease = acquire("lead", "x");
        clockMs = 500;
        apply(StoreMessages.tick());
        assertEquals(1000, state.clockMs());
        apply(StoreMessages.renew(lease));
        clockMs = 1000 + LEASE_TTL.toMillis() - 1;
        apply(StoreMessages.tick());
        assertEquals(1, state.leases().size());
        clockMs++;
        apply(StoreMessages.tick());
        assertEquals(0, state.leases().size());
        Reply endless = apply(StoreMessages.acquire("lead", "x", Duration.ofMillis(Long.MAX_VALUE)));
        assertEquals(Long.MAX_VALUE, endless.getLease().getEndsMs());
    }

    @Test
    void rewrittenKeyBelongsToNewSession() throws Exception {
        Lease one = acquire("one", "x");
        Lease two = acquire("two", "x");
        write(List.of(
                new Write("a", new byte[1], null, one.session()),
                new Write("b", new byte[1], null, one.session()),
                new Write("c", new byte[1], null, one.session())));
        write(List.of(new Write("a", new byte[1], null, two.session()), Write.put("b", new byte[1])));
        apply(StoreMessages.release(one));
        assertEquals(List.of("a", "b"), List.copyOf(state.entries().keySet()));
        apply(StoreMessages.release(two));
        apply(StoreMessages.release(two));
        assertEquals(List.of("b"), List.copyOf(state.entries().keySet()));
    }

    @Test
    void eachLimitIsEnforced() throws Exception {
        stateMachine = new StoreStateMachine(new StoreLimits(8, 4, 2, 3, 29, 2, 1, 5, 1));
        assertRejected(ErrorCode.TOO_LARGE, write(List.of(Write.put("a", new byte[9]))));
        assertRejected(ErrorCode.TOO_LARGE, write(List.of(Write.put("\u00e4\u00e4a", new byte[1]))));
        assertRejected(
                ErrorCode.TOO_LARGE,
                write(List.of(Write.put("a", new byte[1]), Write.put("b", new byte[1]), Write.put("c", new byte[1]))));
        write(List.of(Write.put("a", new byte[8]), Write.put("b", new byte[8])));
        assertRejected(ErrorCode.TOO_MANY, write(List.of(Write.put("c", new byte[1]), Write.put("d", new byte[1]))));
        write(List.of(Write.put("a", new byte[0]), Write.put("c", new byte[8])));
        assertRejected(ErrorCode.TOO_MANY, write(List.of(Write.put("\u00e4\u00e4", new byte[8]), Write.delete("a"))));
        acquire("l", "x");
        Lease two = acquire("m", "x");
        assertRejected(ErrorCode.TOO_MANY, apply(StoreMessages.acquire("n", "x", LEASE_TTL)));
        acquire("m", "x");
        assertRejected(ErrorCode.MALFORMED, apply(StoreMessages.acquire("", "x", LEASE_TTL)));
        assertRejected(ErrorCode.MALFORMED, apply(StoreMessages.acquire("n", "x", Duration.ZERO)));
        assertRejected(ErrorCode.TOO_LARGE, apply(StoreMessages.acquire("n", "xxxxx", LEASE_TTL)));
        apply(StoreMessages.announce("r1", 1));
        assertRejected(ErrorCode.TOO_MANY, apply(StoreMessages.announce("r2", 1)));
        assertRejected(ErrorCode.STALE_FENCE, write(List.of(), two.fence()));
    }

    @Test
    void fencesOfEndedLeasesAreBounded() throws Exception {
        stateMachine = new StoreStateMachine(CommandGenerator.TIGHT_LIMITS);
        List<Lease> leases = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            leases.add(acquire("n" + i, "x"));
            clockMs += LEASE_TTL.toMillis();
            StateChecks.assertConsistent(state, CommandGenerator.TIGHT_LIMITS, "name " + i);
        }
        apply(StoreMessages.tick());
        for (Lease lease : leases) {
            assertRejected(ErrorCode.SESSION_ENDED, write(List.of(), lease.fence()));
        }
    }

    @Test
    void watchFromBeforeHistoryReturnsCompleteListing() throws Exception {
        stateMachine = new StoreStateMachine(CommandGenerator.TIGHT_LIMITS);
        for (int i = 0; i < 20; i++) {
            write(List.of(Write.put("a/" + i % 3, new byte[1]), Write.put("b", new byte[1])));
        }
        assertEquals(
                List.of("a/0", "a/1", "a/2"),
                keys(stateMachine.query(state, StoreMessages.watch("a/", 13, Duration.ZERO))));
        assertTrue(stateMachine
                .query(state, StoreMessages.watch("a/", 13, Duration.ZERO))
                .getWhole());
        Reply partial = stateMachine.query(state, StoreMessages.watch("a/", 18, Duration.ZERO));
        assertTrue(!partial.getWhole());
        assertEquals(List.of("a/0", "a/1"), keys(partial));
        StoreState restored = StateChecks.restore(StateChecks.snapshotBytes(state, 10));
        assertTrue(stateMachine
                .query(restored, StoreMessages.watch("a/", 19, Duration.ZERO))
                .getWhole());
        Reply ahead = stateMachine.query(restored, StoreMessages.watch("a/", 25, Duration.ZERO));
        assertEquals(Reply.newBuilder().setVersion(25).build(), ahead);
    }

    private static List<String> keys(Reply reply) {
        return reply.getEntriesList().stream()
                .map(olivechute.store.wire.Entry::getKey)
                .toList();
    }

    @Test
    void featureLevelIsBoundedByAnnouncedLevels() throws Exception {
        stateMachine = new StoreStateMachine(StoreLimits.DEFAULTS, 2);
        assertRejected(ErrorCode.LEVEL_TOO_LOW, apply(StoreMessages.raiseLevel(2)));
        apply(StoreMessages.announce("r1", 2));
        apply(StoreMessages.announce("r2", 1));
        assertRejected(ErrorCode.LEVEL_TOO_LOW, apply(StoreMessages.raiseLevel(2)));
        assertEquals(1, state.featureLevel());
        apply(StoreMessages.announce("r2", 2));
        apply(StoreMessages.raiseLevel(2));
        assertEquals(2, state.featureLevel());
        apply(StoreMessages.raiseLevel(1));
        assertEquals(2, state.featureLevel());
        assertRejected(ErrorCode.LEVEL_TOO_LOW, apply(StoreMessages.announce("r3", 1)));
        apply(StoreMessages.announce("r1", 0));
        assertEquals(1, state.announcedLevels().size());
    }

    /** A replica that supports less than the group's level must stop, since it would diverge from the others. */
    @Test
    void replicaBelowGroupLevelStops() throws Exception {
        stateMachine = new StoreStateMachine(StoreLimits.DEFAULTS, 2);
        apply(StoreMessages.announce("r1", 2));
        apply(StoreMessages.raiseLevel(2));
        stateMachine = new StoreStateMachine(StoreLimits.DEFAULTS, 1);
        assertEquals(
                ErrorCode.LEVEL_TOO_LOW,
                assertThrows(StoreException.class, () -> apply(StoreMessages.tick()))
                        .code());
    }

    @Test
    void unknownFieldIsIgnored() throws Exception {
        Command command = StoreMessages.batch(List.of(Write.put("a", new byte[1])), List.of());
        Command newer = Command.parseFrom(withUnknownField(command.toByteArray()));
        assertTrue(newer.toByteArray().length > command.toByteArray().length);
        StoreMessages.requireAccepted(apply(newer));
        assertEquals(1, state.entries().size());
    }

    @Test
    void unknownCommandKindIsRejectedWithoutChange() throws Exception {
        Lease lease = acquire("lead", "x");
        StoreState before = state;
        clockMs += 10 * LEASE_TTL.toMillis();
        Command newer = Command.parseFrom(
                withUnknownField(Command.newBuilder().setLevel(1).build().toByteArray()));
        assertRejected(ErrorCode.LEVEL_TOO_LOW, apply(newer));
        assertRejected(
                ErrorCode.LEVEL_TOO_LOW,
                apply(StoreMessages.tick().toBuilder().setLevel(2).build()));
        assertRejected(
                ErrorCode.LEVEL_TOO_LOW,
                apply(StoreMessages.tick().toBuilder().setLevel(-1).build()));
        assertEquals(before.clockMs(), state.clockMs());
        assertSame(before.leases(), state.leases());
        assertEquals(lease.session(), state.version());
        assertRejected(
                ErrorCode.LEVEL_TOO_LOW,
                stateMachine.query(state, Query.newBuilder().setLevel(1).build()));
        assertRejected(
                ErrorCode.LEVEL_TOO_LOW,
                stateMachine.query(
                        state, StoreMessages.status().toBuilder().setLevel(2).build()));
    }

    @Test
    void statusReportsCounts() throws Exception {
        acquire("lead", "x");
        write(List.of(Write.put("a/1", new byte[5])));
        Reply reply = stateMachine.query(state, StoreMessages.status());
        assertEquals(
                List.of(2L, 1L, 8L, 1L),
                List.of(
                        reply.getStatus().getVersion(),
                        reply.getStatus().getKeys(),
                        reply.getStatus().getBytes(),
                        reply.getStatus().getSessions()));
        assertEquals(
                List.of(1, 1),
                List.of(reply.getStatus().getLevel(), reply.getStatus().getKnows()));
    }

    @Test
    void unknownRejectionKindIsPreservedInMessage() {
        Reply reply = Reply.newBuilder()
                .setRefusal(Refusal.newBuilder().setKind("MOON_TOO_FULL").setText("at night"))
                .build();
        StoreException fault = assertThrows(StoreException.class, () -> StoreMessages.requireAccepted(reply));
        assertEquals(ErrorCode.MALFORMED, fault.code());
        assertTrue(fault.subject().contains("MOON_TOO_FULL") && fault.subject().contains("at night"));
        StoreException held = new StoreException(ErrorCode.LEASE_HELD, "by x");
        StoreException decoded = assertThrows(
                StoreException.class, () -> StoreMessages.requireAccepted(StoreMessages.rejection(held, 3)));
        assertEquals(held.getMessage(), decoded.getMessage());
    }
}
