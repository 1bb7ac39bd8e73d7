package olivechute.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import olivechute.store.wire.Entry;
import olivechute.store.wire.Reply;
import org.junit.jupiter.api.Test;

/** Tests that a watch that continues from the version of the last reply misses no change, however late it comes. */
class WatchPropertyTest {
    private static final long FIRST_SEED = 20261202;
    private static final int SEED_COUNT = 100;
    private static final int COMMAND_COUNT = 200;

    private final StoreStateMachine machine = new StoreStateMachine(CommandGenerator.TIGHT_LIMITS, 2);
    private int completeReplies;
    private int partialReplies;

    @Test
    void resumedWatchSeesEveryChange() throws Exception {
        System.out.println("watch seeds from " + FIRST_SEED + ", " + SEED_COUNT + " of them");
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            watchThroughCommands(seed);
        }
        assertTrue(
                completeReplies > 100 && partialReplies > 1000,
                completeReplies + " complete replies, " + partialReplies + " partial replies");
    }

    private void watchThroughCommands(long seed) throws Exception {
        CommandGenerator generator = new CommandGenerator(seed);
        Random random = new Random(seed);
        StoreState state = StoreState.EMPTY;
        Map<String, Entry> seen = new TreeMap<>();
        long since = 0;
        int interval = 1 + random.nextInt(20);
        for (int i = 1; i <= COMMAND_COUNT; i++) {
            state = machine.apply(state, generator.next(state), i).state();
            if (random.nextInt(60) == 0) {
                state = StateChecks.restore(StateChecks.snapshotBytes(state, 64));
            }
            if (random.nextInt(interval) > 0) {
                continue;
            }
            String context = "seed " + seed + ", after command " + i;
            Reply reply = QueryExecutor.watch(state, "a/", since);
            Map<String, Entry> stored = list(state);
            checkReply(reply, seen, stored, since, context);
            applyReply(reply, seen);
            assertEquals(stored, seen, context);
            assertEquals(state.version(), reply.getVersion(), context);
            since = reply.getVersion();
        }
    }

    /**
     * The reply holds exactly the entries that differ, in order of version. A key that was added and deleted since may
     * be reported as removed.
     */
    private void checkReply(
            Reply reply, Map<String, Entry> seen, Map<String, Entry> stored, long since, String context) {
        long minVersion = reply.getWhole() ? 0 : since + 1;
        TreeSet<String> changed = new TreeSet<>();
        for (Entry entry : reply.getEntriesList()) {
            assertTrue(reply.getWhole() || entry.getVersion() >= minVersion, context + ": out of order");
            minVersion = entry.getVersion();
            changed.add(entry.getKey());
        }
        if (reply.getWhole()) {
            completeReplies++;
            return;
        }
        partialReplies++;
        TreeSet<String> expected = new TreeSet<>();
        stored.forEach((key, entry) -> {
            if (!entry.equals(seen.get(key))) {
                expected.add(key);
            }
        });
        assertEquals(expected, changed, context);
    }

    private static void applyReply(Reply reply, Map<String, Entry> seen) {
        if (reply.getWhole()) {
            seen.clear();
        }
        reply.getEntriesList().forEach(entry -> seen.put(entry.getKey(), entry));
        reply.getRemovedList().forEach(seen::remove);
    }

    private static Map<String, Entry> list(StoreState state) {
        Map<String, Entry> all = new TreeMap<>();
        state.entries().forEach((key, stored) -> {
            if (key.startsWith("a/")) {
                all.put(
                        key,
                        Entry.newBuilder()
                                .setKey(key)
                                .setValue(stored.value())
                                .setVersion(stored.version())
                                .build());
            }
        });
        return all;
    }

    /**
     * The same through the registry: it replies at the first state with a change, and no change is lost while no watch
     * is registered.
     */
    @Test
    void registryAnswersWatchesWithChanges() throws Exception {
        System.out.println("registry seeds from " + FIRST_SEED + ", " + SEED_COUNT + " of them");
        int answered = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            CommandGenerator generator = new CommandGenerator(seed);
            Random random = new Random(seed);
            StoreState state = StoreState.EMPTY;
            WatchRegistry registry = new WatchRegistry(CommandGenerator.TIGHT_LIMITS, state);
            Map<String, Entry> seen = new TreeMap<>();
            long since = 0;
            CompletableFuture<Reply> pending = registry.register("a/", since, 50);
            for (int i = 1; i <= COMMAND_COUNT; i++) {
                String context = "seed " + seed + ", after command " + i;
                Map<String, Entry> before = list(state);
                state = machine.apply(state, generator.next(state), i).state();
                registry.onChange(state);
                if (pending != null) {
                    assertTrue(
                            pending.isDone() || before.equals(list(state)),
                            context + ": pending watch missed a change");
                }
                if (random.nextInt(30) == 0) {
                    registry.expire(i);
                }
                if (pending == null && random.nextInt(6) == 0) {
                    pending = registry.register("a/", since, i + 20);
                }
                if (pending != null && pending.isDone()) {
                    applyReply(completedReply(pending), seen);
                    assertEquals(list(state), seen, context);
                    answered++;
                    since = completedReply(pending).getVersion();
                    pending = null;
                }
            }
            assertTrue(registry.size() <= 1, "seed " + seed);
        }
        assertTrue(answered > 500, answered + " replies");
    }

    @Test
    void registryLimitsPendingWatches() {
        WatchRegistry registry = new WatchRegistry(CommandGenerator.TIGHT_LIMITS, StoreState.EMPTY);
        CompletableFuture<Reply> first = registry.register("a", 0, 100);
        CompletableFuture<Reply> second = registry.register("b", 0, 200);
        assertEquals(
                "TOO_MANY",
                completedReply(registry.register("c", 0, 100)).getRefusal().getKind());
        first.cancel(false);
        CompletableFuture<Reply> third = registry.register("c", 0, 100);
        assertEquals(2, registry.size());
        registry.expire(99);
        assertTrue(!third.isDone() && !second.isDone());
        registry.expire(100);
        assertEquals(Reply.getDefaultInstance(), completedReply(third));
        assertTrue(!second.isDone());
        registry.onChange(put(StoreState.EMPTY, "b"));
        assertEquals("b", completedReply(second).getEntries(0).getKey());
        assertEquals(0, registry.size());
    }

    /**
     * A pending watch advances with the state, so that writes under other prefixes do not complete it, however many
     * there are.
     */
    @Test
    void pendingWatchOutlivesHistory() {
        WatchRegistry registry = new WatchRegistry(CommandGenerator.TIGHT_LIMITS, StoreState.EMPTY);
        CompletableFuture<Reply> pending = registry.register("a", 0, 100);
        StoreState state = StoreState.EMPTY;
        for (int i = 0; i < 3 * CommandGenerator.TIGHT_LIMITS.maxHistoryKeys(); i++) {
            state = put(state, "b");
            registry.onChange(state);
        }
        assertTrue(!pending.isDone());
        state = put(state, "a");
        registry.onChange(state);
        assertEquals(1, completedReply(pending).getEntriesCount());
        assertTrue(!completedReply(pending).getWhole());
        assertEquals(state.version(), completedReply(pending).getVersion());
    }

    private static Reply completedReply(CompletableFuture<Reply> pending) {
        assertTrue(pending.isDone(), "the watch has no reply yet");
        return pending.join();
    }

    private static StoreState put(StoreState state, String key) {
        StateTransaction transaction = new StateTransaction(state, CommandGenerator.TIGHT_LIMITS);
        transaction.put(key, ByteString.EMPTY, 0);
        return transaction.commit();
    }
}
