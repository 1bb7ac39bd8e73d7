package olivechute.store;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import olivechute.store.wire.Acquire;
import olivechute.store.wire.Announce;
import olivechute.store.wire.Batch;
import olivechute.store.wire.Command;
import olivechute.store.wire.Fence;
import olivechute.store.wire.Put;
import olivechute.store.wire.RaiseLevel;
import olivechute.store.wire.Release;
import olivechute.store.wire.Renew;
import olivechute.store.wire.Tick;

/**
 * Generates random commands over few keys, names and owners, so that they interact. Numbers such as versions and
 * sessions mostly, but not always, match the state.
 */
final class CommandGenerator {
    /** Limits small enough for random commands to reach each of them. */
    static final StoreLimits TIGHT_LIMITS = new StoreLimits(8, 12, 6, 9, 90, 3, 2, 12, 2);

    private final Random random;
    private long clockMs = 1000;

    CommandGenerator(long seed) {
        random = new Random(seed);
    }

    Command next(StoreState state) {
        clockMs = Math.max(0, clockMs + random.nextInt(40) - 5);
        Command.Builder command =
                Command.newBuilder().setLevel(random.nextInt(30) == 0 ? 2 : 1).setNowMs(clockMs);
        switch (random.nextInt(14)) {
            case 0, 1 ->
                command.setAcquire(Acquire.newBuilder()
                        .setName(name())
                        .setOwner("o" + random.nextInt(2))
                        .setTtlMs(random.nextInt(200)));
            case 2 -> command.setRenew(Renew.newBuilder().setSession(session(state)));
            case 3 -> command.setRelease(Release.newBuilder().setSession(session(state)));
            case 4 -> command.setTick(Tick.getDefaultInstance());
            case 5 ->
                command.setAnnounce(Announce.newBuilder()
                        .setReplica("r" + random.nextInt(4))
                        .setKnows(random.nextInt(3)));
            case 6 -> command.setRaise(RaiseLevel.newBuilder().setLevel(random.nextInt(3)));
            default -> command.setBatch(batch(state));
        }
        return command.build();
    }

    private Batch batch(StoreState state) {
        Batch.Builder batch = Batch.newBuilder();
        for (int i = random.nextInt(5) == 0 ? random.nextInt(9) : 1 + random.nextInt(2); i > 0; i--) {
            batch.addPuts(put(state));
        }
        if (random.nextInt(3) == 0) {
            String name = name();
            LeaseEntry held = state.leases().findByName(name);
            batch.addFences(Fence.newBuilder()
                    .setDomain(name)
                    .setNumber(
                            held != null && random.nextInt(4) > 0
                                    ? held.session()
                                    : random.nextInt(1 + (int) state.version())));
        }
        return batch.build();
    }

    private Put put(StoreState state) {
        String key =
                random.nextInt(40) == 0 ? "a/much/too/long" : (random.nextBoolean() ? "a/" : "b/") + random.nextInt(7);
        Put.Builder put = Put.newBuilder().setKey(key).setDelete(random.nextInt(4) == 0);
        if (random.nextInt(3) == 0) {
            VersionedValue stored = state.entries().get(key);
            put.setConditional(true)
                    .setIfVersion(random.nextInt(4) == 0 ? state.version() : stored == null ? 0 : stored.version());
        }
        if (random.nextInt(3) == 0) {
            put.setSession(session(state));
        }
        byte[] value = new byte[random.nextInt(10)];
        random.nextBytes(value);
        return put.setValue(ByteString.copyFrom(value)).build();
    }

    private long session(StoreState state) {
        List<Long> held = new ArrayList<>(state.leases().bySession().keySet());
        return held.isEmpty() || random.nextInt(4) == 0
                ? random.nextInt(1 + (int) state.version())
                : held.get(random.nextInt(held.size()));
    }

    private String name() {
        return "n" + random.nextInt(5);
    }
}
