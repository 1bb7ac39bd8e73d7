package olivechute.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Command;
import olivechute.store.wire.Put;
import olivechute.store.wire.Reply;
import olivechute.store.wire.Tick;

/**
 * Tests properties of the state machine over random sequences of commands. Each case is a seed, which a failure
 * reports.
 */
@SuppressWarnings("LiteProtoToString") // only printed when a check fails
class StoreStateMachinePropertyTest {
    private static final int COMMAND_COUNT = 150;
    private static final StoreLimits LIMITS = CommandGenerator.TIGHT_LIMITS;

    private final StoreStateMachine machine = new StoreStateMachine(LIMITS, 2);

    @Property(tries = 120, seed = "20261202")
    void sameCommandsGiveSameStateAndReplies(@ForAll long seed) throws Exception {
        CommandGenerator generator = new CommandGenerator(seed);
        StoreStateMachine other = new StoreStateMachine(LIMITS, 3);
        StoreState state = StoreState.EMPTY;
        StoreState otherState = StoreState.EMPTY;
        for (int i = 1; i <= COMMAND_COUNT; i++) {
            Command command = generator.next(state);
            CommandResult result = machine.apply(state, command, i);
            CommandResult otherResult = other.apply(otherState, Command.parseFrom(command.toByteArray()), i);
            assertEquals(result, otherResult, "seed " + seed + ", command " + i);
            state = result.state();
            otherState = otherResult.state();
            StateChecks.assertConsistent(state, LIMITS, "seed " + seed + ", command " + i + ": " + command);
        }
    }

    /**
     * A replica restored from its own snapshot behaves like one that applied the whole log, and so does a replica that
     * received the snapshot of another.
     */
    @Property(tries = 80, seed = "20261202")
    void snapshotAtAnyPointIsEquivalentToLog(@ForAll long seed) throws Exception {
        CommandGenerator generator = new CommandGenerator(seed);
        Random random = new Random(seed);
        StoreState replayed = StoreState.EMPTY;
        StoreState restored = StoreState.EMPTY;
        for (int i = 1; i <= COMMAND_COUNT; i++) {
            if (random.nextInt(20) == 0) {
                byte[] file = StateChecks.snapshotBytes(replayed, 1 + random.nextInt(100));
                restored = StateChecks.restore(file);
                assertEquals(StateChecks.withoutHistory(replayed), restored, "seed " + seed + ", before command " + i);
            }
            Command command = generator.next(replayed);
            CommandResult replayedResult = machine.apply(replayed, command, i);
            CommandResult restoredResult = machine.apply(restored, command, i);
            replayed = replayedResult.state();
            restored = restoredResult.state();
            assertEquals(replayedResult.reply(), restoredResult.reply(), "seed " + seed + ", command " + i);
            assertEquals(
                    StateChecks.withoutHistory(replayed),
                    StateChecks.withoutHistory(restored),
                    "seed " + seed + ", command " + i);
        }
    }

    @Property(tries = 120, seed = "20261202")
    void batchIsAtomic(@ForAll long seed) throws Exception {
        CommandGenerator generator = new CommandGenerator(seed);
        StoreState state = StoreState.EMPTY;
        for (int i = 1; i <= COMMAND_COUNT; i++) {
            String context = "seed " + seed + ", command " + i;
            Command command = generator.next(state);
            CommandResult result = machine.apply(state, command, i);
            StoreState after = result.state();
            boolean unsupported =
                    result.reply().getRefusal().getKind().equals(ErrorCode.LEVEL_TOO_LOW.name()) && command.hasBatch();
            StoreState withoutBatch = unsupported
                    ? state
                    : machine.apply(
                                    state,
                                    command.toBuilder()
                                            .setTick(Tick.getDefaultInstance())
                                            .build(),
                                    i)
                            .state();
            if (result.reply().hasRefusal() && command.hasBatch()) {
                assertEquals(withoutBatch.entries(), after.entries(), context);
                assertEquals(withoutBatch.version(), after.version(), context);
                assertEquals(withoutBatch.history(), after.history(), context);
            } else if (command.hasBatch()) {
                Map<String, VersionedValue> expected = new TreeMap<>(withoutBatch.entries());
                for (Put put : command.getBatch().getPutsList()) {
                    VersionedValue stored =
                            new VersionedValue(put.getValue(), withoutBatch.version() + 1, put.getSession());
                    if (put.getDelete()) {
                        expected.remove(put.getKey());
                    } else {
                        expected.put(put.getKey(), stored);
                    }
                }
                assertEquals(expected, after.entries(), context);
                assertEquals(
                        expected.equals(withoutBatch.entries()) ? withoutBatch.version() : withoutBatch.version() + 1,
                        after.version(),
                        context);
            }
            state = after;
        }
    }

    private record HeldLease(String owner, long session, long ttlMs, long expiresAtMs) {}

    /**
     * Derived from the replies alone: a granted lease excludes all other owners until it expires by the clock of the
     * commands.
     */
    @Property(tries = 120, seed = "20261202")
    void leaseHasOneHolderAndSessionsOnlyGrow(@ForAll long seed) throws Exception {
        CommandGenerator generator = new CommandGenerator(seed);
        Map<String, HeldLease> heldLeases = new HashMap<>();
        StoreState state = StoreState.EMPTY;
        long clockMs = 0;
        long highestSession = 0;
        for (int i = 1; i <= COMMAND_COUNT; i++) {
            String context = "seed " + seed + ", command " + i;
            Command command = generator.next(state);
            CommandResult result = machine.apply(state, command, i);
            Reply reply = result.reply();
            String kind = reply.getRefusal().getKind();
            if (command.getLevel() <= state.featureLevel()) {
                clockMs = Math.max(clockMs, command.getNowMs());
            }
            long nowMs = clockMs;
            heldLeases.values().removeIf(lease -> lease.expiresAtMs <= nowMs);
            if (command.hasAcquire() && !reply.hasRefusal()) {
                HeldLease current = heldLeases.get(command.getAcquire().getName());
                assertTrue(
                        current == null
                                || current.owner.equals(command.getAcquire().getOwner()),
                        context + ": two owners hold the lease");
                assertTrue(
                        reply.getLease().getSession() > highestSession,
                        context + ": " + reply + " after " + highestSession);
                highestSession = reply.getLease().getSession();
                heldLeases.put(
                        command.getAcquire().getName(),
                        new HeldLease(
                                command.getAcquire().getOwner(),
                                highestSession,
                                command.getAcquire().getTtlMs(),
                                clockMs + command.getAcquire().getTtlMs()));
            } else if (command.hasAcquire() && kind.equals(ErrorCode.LEASE_HELD.name())) {
                assertNotNull(heldLeases.get(command.getAcquire().getName()), context);
            } else if (command.hasRenew() && !kind.equals(ErrorCode.LEVEL_TOO_LOW.name())) {
                long session = command.getRenew().getSession();
                assertEquals(
                        heldLeases.values().stream().noneMatch(lease -> lease.session == session),
                        reply.hasRefusal(),
                        context);
                heldLeases.replaceAll((name, lease) -> lease.session == session
                        ? new HeldLease(lease.owner, session, lease.ttlMs, nowMs + lease.ttlMs)
                        : lease);
            } else if (command.hasRelease() && !reply.hasRefusal()) {
                heldLeases
                        .values()
                        .removeIf(lease -> lease.session == command.getRelease().getSession());
            } else if (command.hasBatch() && command.getBatch().getFencesCount() == 1 && !reply.hasRefusal()) {
                HeldLease holder =
                        heldLeases.get(command.getBatch().getFences(0).getDomain());
                assertTrue(
                        holder != null
                                && holder.session
                                        == command.getBatch().getFences(0).getNumber(),
                        context + ": a write with a stale fence was accepted");
            }
            assertEquals(heldLeases.keySet(), result.state().leases().byName().keySet(), context);
            state = result.state();
        }
    }

    @Property(tries = 80, seed = "20261202")
    void earlierStateIsImmutable(@ForAll long seed) throws Exception {
        CommandGenerator generator = new CommandGenerator(seed);
        StoreState state = StoreState.EMPTY;
        StoreState earlier = state;
        byte[] file = StateChecks.snapshotBytes(state, 100);
        for (int i = 1; i <= COMMAND_COUNT; i++) {
            state = machine.apply(state, generator.next(state), i).state();
            if (i % 50 == 25) {
                earlier = state;
                file = StateChecks.snapshotBytes(state, 100);
            }
        }
        assertEquals(StateChecks.restore(file), StateChecks.withoutHistory(earlier), "seed " + seed);
        assertNull(earlier.entries().get(""));
        assertFalse(earlier.index() == state.index());
    }
}
