package olivechute.store.raft;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import olivechute.error.StoreException;
import olivechute.store.Store;
import olivechute.store.Store.Write;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Measures the store and checks no bounds; runs with -Dmeasure=true. Values have 200 bytes, and all replicas and
 * clients run on one machine.
 */
@EnabledIfSystemProperty(named = "measure", matches = "true")
class StoreMeasureIT {
    private static final long RUN_NS = 8_000_000_000L;
    private static final int KILLS = Integer.getInteger("kills", 20);

    @Test
    void writeThroughput() throws Exception {
        for (int replicas : new int[] {3, 5}) {
            try (StoreGroup group = StoreGroup.startGroup(replicas, "")) {
                group.awaitLeader(0);
                for (int writers : new int[] {1, 32}) {
                    runWriters(group, writers, RUN_NS / 4, new ConcurrentHistogram(3));
                    Histogram latencyUs = new ConcurrentHistogram(3);
                    runWriters(group, writers, RUN_NS, latencyUs);
                    System.out.printf(
                            "measure: %d replicas, %d writers: %.0f writes/s, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n",
                            replicas,
                            writers,
                            latencyUs.getTotalCount() * 1e9 / RUN_NS,
                            latencyUs.getValueAtPercentile(50) / 1e3,
                            latencyUs.getValueAtPercentile(99) / 1e3,
                            latencyUs.getValueAtPercentile(99.9) / 1e3);
                }
                for (int i = 0; i < replicas; i++) {
                    System.out.println(
                            "measure: " + replicas + " replicas, r" + i + " " + residentMemory(group.pid(i)));
                }
            }
        }
    }

    private static String residentMemory(long pid) throws Exception {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .findFirst()
                .orElse("");
    }

    private static void runWriters(StoreGroup group, int writers, long durationNs, Histogram latencyUs)
            throws Exception {
        try (Store store = group.client(Duration.ofSeconds(10))) {
            long deadlineNs = System.nanoTime() + durationNs;
            List<Thread> threads = new ArrayList<>();
            ConcurrentLinkedQueue<StoreException> faults = new ConcurrentLinkedQueue<>();
            for (int i = 0; i < writers; i++) {
                String key = "k" + i;
                Thread thread = new Thread(() -> {
                    try {
                        while (System.nanoTime() < deadlineNs) {
                            long startNs = System.nanoTime();
                            store.write(List.of(Write.put(key, new byte[200])), List.of());
                            latencyUs.recordValue((System.nanoTime() - startNs) / 1000);
                        }
                    } catch (StoreException e) {
                        faults.add(e);
                    }
                });
                threads.add(thread);
                thread.start();
            }
            for (Thread each : threads) {
                each.join();
            }
            faults.forEach(f -> System.out.println("measure: " + f.getMessage()));
        }
    }

    /**
     * Measures the time from SIGKILL of the leader to the first write acknowledged by the next leader; the killed
     * replica then restarts from its log.
     */
    @Test
    void leaderKills() throws Exception {
        Histogram outageMs = new Histogram(3);
        try (StoreGroup group = StoreGroup.startGroup(3, "");
                Store store = group.client(Duration.ofSeconds(20))) {
            int leader = group.awaitLeader(0);
            for (int i = 0; i < KILLS; i++) {
                store.write(List.of(Write.put("k", new byte[200])), List.of());
                int mark = group.lineCount();
                long startNs = System.nanoTime();
                group.kill(leader);
                CompletableFuture<Void> first = CompletableFuture.runAsync(() -> {
                    try (Store other = group.client(Duration.ofSeconds(20))) {
                        other.write(List.of(Write.put("k", new byte[200])), List.of());
                    } catch (StoreException e) {
                        throw new AssertionError(e);
                    }
                });
                first.get();
                outageMs.recordValue((System.nanoTime() - startNs) / 1_000_000);
                int nextLeader = group.awaitLeader(mark);
                int restartLine = group.lineCount();
                group.start(leader);
                group.awaitLine(restartLine, leader, "follows");
                leader = nextLeader;
            }
        }
        System.out.printf(
                "measure: %d kills of the lead: first write again after p50 %d ms, most %d ms%n",
                KILLS, outageMs.getValueAtPercentile(50), outageMs.getMaxValue());
    }

    /** Measures the time from the start of a single replica until it is leader, by the number of entries in its log. */
    @Test
    void recoveryTime() throws Exception {
        for (int entries : new int[] {1_000, 10_000}) {
            try (StoreGroup group = StoreGroup.startGroup(1, "log { snapshot_every = 1000000, snapshot_mb = 1024 }")) {
                group.awaitLeader(0);
                List<Thread> threads = new ArrayList<>();
                try (Store store = group.client(Duration.ofSeconds(10))) {
                    for (int t = 0; t < 20; t++) {
                        int each = entries / 20;
                        Thread thread = new Thread(() -> {
                            try {
                                for (int i = 0; i < each; i++) {
                                    store.write(List.of(Write.put("k" + i % 100, new byte[200])), List.of());
                                }
                            } catch (StoreException e) {
                                System.out.println("measure: " + e.getMessage());
                            }
                        });
                        threads.add(thread);
                        thread.start();
                    }
                    for (Thread each : threads) {
                        each.join();
                    }
                }
                group.kill(0);
                int mark = group.lineCount();
                long startNs = System.nanoTime();
                group.start(0);
                group.awaitLeader(mark);
                System.out.printf(
                        "measure: %d entries in the log: leads %d ms after the start of its process%n",
                        entries, (System.nanoTime() - startNs) / 1_000_000);
            }
        }
    }
}
