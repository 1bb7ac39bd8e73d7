package olivechute.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.store.Store.Changes;
import olivechute.store.Store.Lease;
import olivechute.store.Store.Write;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;

/** Tests the in-memory store through its client interface. */
@Timeout(60)
class MemoryStoreTest {
    private static final Duration LEASE_TTL = Duration.ofSeconds(5);
    private static final Duration LONG_WAIT = Duration.ofSeconds(30);

    private final AtomicLong clock = new AtomicLong(1000);
    private final MemoryStore store = new MemoryStore(clock::get);

    private static void assertRejected(ErrorCode kind, Executable call) {
        assertEquals(kind, assertThrows(StoreException.class, call).code());
    }

    @Test
    void writesAreReadBackWithTheirVersion() throws StoreException {
        long version = store.write(List.of(Write.put("a/1", new byte[] {1}), Write.put("b", new byte[0])), List.of());
        assertArrayEquals(new byte[] {1}, store.get("a/1").orElseThrow().value());
        assertEquals(version, store.get("b").orElseThrow().version());
        assertTrue(store.get("a").isEmpty());
        Changes all = store.list("a/");
        assertEquals(
                List.of("a/1"), all.entries().stream().map(Store.Entry::key).toList());
        assertTrue(all.complete());
        assertRejected(
                ErrorCode.CONFLICT, () -> store.write(List.of(Write.putIf("b", new byte[1], version + 1)), List.of()));
        assertRejected(ErrorCode.CONFLICT, () -> store.write(List.of(Write.putIf("b", new byte[1], 0)), List.of()));
        store.write(List.of(Write.putIf("b", new byte[1], version), Write.delete("a/1")), List.of());
        assertTrue(store.list("a/").entries().isEmpty());
    }

    @Test
    void watchWaitsForFirstChangeUnderItsPrefix() throws Exception {
        long since = store.list("a/").version();
        CompletableFuture<Changes> seen = CompletableFuture.supplyAsync(() -> watch("a/", since));
        store.write(List.of(Write.put("b/1", new byte[1])), List.of());
        assertFalse(seen.isDone());
        store.write(List.of(Write.put("a/1", new byte[1])), List.of());
        Changes changes = seen.get(30, TimeUnit.SECONDS);
        assertEquals(
                List.of("a/1"), changes.entries().stream().map(Store.Entry::key).toList());
        store.write(List.of(Write.delete("a/1")), List.of());
        assertEquals(
                List.of("a/1"), store.watch("a/", changes.version(), LONG_WAIT).removed());
    }

    @Test
    void watchWithoutChangeReturnsEmpty() throws StoreException {
        long version = store.write(List.of(Write.put("b", new byte[1])), List.of());
        Changes none = store.watch("a/", 0, Duration.ofMillis(1));
        assertEquals(new Changes(version, false, List.of(), List.of()), none);
    }

    @Test
    void expiredLeaseDeletesItsKeys() throws StoreException {
        Lease lease = store.acquire("machine/m1", "one", LEASE_TTL);
        assertRejected(ErrorCode.LEASE_HELD, () -> store.acquire("machine/m1", "two", LEASE_TTL));
        long version = store.write(
                List.of(new Write("machine/m1", new byte[1], null, lease.session())), List.of(lease.fence()));
        clock.addAndGet(4000);
        store.renew(lease);
        clock.addAndGet(4999);
        store.tick();
        assertTrue(store.get("machine/m1").isPresent());
        clock.addAndGet(1);
        store.tick();
        assertEquals(
                List.of("machine/m1"),
                store.watch("machine/", version, LONG_WAIT).removed());
        assertRejected(ErrorCode.SESSION_ENDED, () -> store.renew(lease));
        assertRejected(ErrorCode.SESSION_ENDED, () -> store.write(List.of(), List.of(lease.fence())));
        Lease next = store.acquire("machine/m1", "two", LEASE_TTL);
        assertTrue(next.session() > lease.session());
        assertRejected(ErrorCode.STALE_FENCE, () -> store.write(List.of(), List.of(lease.fence())));
        store.release(lease);
        store.write(List.of(), List.of(next.fence()));
        store.release(next);
        store.acquire("machine/m1", "one", LEASE_TTL);
    }

    @Test
    void closedStoreRejectsCalls() throws Exception {
        CompletableFuture<Changes> waiting = new CompletableFuture<>();
        Thread watcher = new Thread(() -> {
            try {
                waiting.complete(store.watch("a", 0, LONG_WAIT));
            } catch (StoreException e) {
                waiting.completeExceptionally(e);
            }
        });
        watcher.start();
        store.close();
        watcher.join();
        assertTrue(waiting.isCompletedExceptionally());
        assertRejected(ErrorCode.NOT_REACHED, () -> store.get("a"));
        assertRejected(ErrorCode.NOT_REACHED, () -> store.write(List.of(), List.of()));
    }

    @Test
    void unencodableTextIsMalformed() {
        assertRejected(ErrorCode.MALFORMED, () -> store.get("a\ud800"));
        assertRejected(ErrorCode.MALFORMED, () -> store.write(List.of(Write.put("", new byte[0])), List.of()));
        assertRejected(
                ErrorCode.MALFORMED,
                () -> store.write(List.of(Write.put("a", new byte[0]), Write.delete("a")), List.of()));
    }

    private Changes watch(String prefix, long since) {
        try {
            return store.watch(prefix, since, LONG_WAIT);
        } catch (StoreException e) {
            throw new AssertionError(e);
        }
    }
}
