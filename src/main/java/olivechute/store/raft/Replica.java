package olivechute.store.raft;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import olivechute.fault.DiskFault;
import olivechute.fault.FaultKind;
import olivechute.fault.FleetFault;
import olivechute.store.Bounds;
import org.apache.ratis.protocol.RaftPeerId;
import org.tinylog.Logger;

/**
 * One replica of the shared store: takes its folder, agrees with the others on each write, and tells who leads. {@link #ended} tells when
 * it cannot go on.
 */
public final class Replica implements AutoCloseable {
    private final ReplicaSettings settings;
    private final Consumer<String> say;
    private final CopyOnWriteArrayList<Consumer<Boolean>> onLead = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService events = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "replica");
        thread.setDaemon(true);
        return thread;
    });
    private final CompletableFuture<FleetFault> ended = new CompletableFuture<>();
    private Folder folder;
    private volatile Member member;
    private volatile boolean leads;

    /** {@code say}: takes each line about what happens. */
    public Replica(ReplicaSettings settings, Consumer<String> say) {
        this.settings = settings;
        this.say = line -> say.accept("replica " + settings.id() + " " + line);
    }

    /** Calls with true once it leads, with false once no more, one after the other on one thread that must not be held up long. */
    public void onLead(Consumer<Boolean> listener) {
        onLead.add(listener);
    }

    /** Takes the folder and begins to serve. Faults: DATA_IN_USE, DATA_FOREIGN, DATA_CORRUPT, DISK_FULL, DISK_BROKEN. */
    public void start() throws FleetFault {
        folder = Folder.take(settings.folder(), settings.id() + " of group " + Wiring.group(settings.region(), settings.replicas()).getGroupId().getUuid());
        try {
            begin();
        } catch (FleetFault e) {
            folder.close();
            throw e;
        }
        say.accept("serves on " + settings.own().address());
        events.scheduleWithFixedDelay(this::tick, 250, 250, TimeUnit.MILLISECONDS);
    }

    private void begin() throws FleetFault {
        try {
            member = new Member(settings, folder, new Events(), () -> "");
            member.start();
        } catch (IOException e) {
            FleetFault fault = CarriedFault.behind(e);
            throw fault != null ? fault : new DiskFault(FaultKind.DATA_CORRUPT, "folder " + folder.path() + ": " + e, e);
        }
    }

    private void tick() {
        Member now = member;
        if (now != null) {
            now.tick();
        }
    }

    /** Whether it leads and has all that was acknowledged before. */
    public boolean leads() {
        return leads;
    }

    /** Done with the reason once it cannot go on. */
    public CompletableFuture<FleetFault> ended() {
        return ended;
    }

    private void lead(boolean now) {
        if (leads != now) {
            leads = now;
            onLead.forEach(each -> each.accept(now));
        }
    }

    private final class Events implements RatisMachine.Listener {
        @Override
        public void leads() {
            events.execute(() -> {
                say.accept("leads term " + member.term());
                lead(true);
            });
        }

        @Override
        public void leadsNoMore() {
            events.execute(() -> lead(false));
        }

        @Override
        public void follows(RaftPeerId lead) {
            events.execute(() -> {
                lead(false);
                say.accept("follows " + lead);
            });
        }

        @Override
        public void caughtUp() {
            events.execute(() -> say.accept("caught up from a snapshot"));
        }

        @Override
        public void logFailed(Throwable cause) {
            Logger.error("log: {}", String.valueOf(cause));
        }

        @Override
        public void cannotGoOn(FleetFault fault) {
            ended.complete(fault);
        }
    }

    /** Bounds of the store as the settings have them. */
    static Bounds bounds(ReplicaSettings s) {
        Bounds usual = Bounds.USUAL;
        return new Bounds(s.valueBytes(), usual.keyBytes(), usual.batch(), s.keys(), s.bytes(), s.leases(), usual.members(),
            usual.history(), s.watches());
    }

    @Override
    public void close() {
        events.shutdownNow();
        Member now = member;
        if (now != null) {
            now.close();
        }
        lead(false);
        if (folder != null) {
            folder.close();
        }
    }
}
