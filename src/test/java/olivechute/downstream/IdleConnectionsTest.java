package olivechute.downstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import olivechute.downstream.IdleConnections.Entry;
import olivechute.downstream.IdleConnections.Kind;
import org.testng.annotations.Test;

/** Compares the order in which connections are closed to make room with a plain model of the rule. */
public class IdleConnectionsTest {
    private static final long SETTLE_TIME_US = 100_000;
    private static final int NOT_CLOSABLE = 9;

    private record ModelEntry(Kind kind, long sinceUs, int step) {}

    /** Rank of a connection, the lowest is closed first; the rule as the architecture page states it. */
    private static int rank(ModelEntry entry, long nowUs) {
        boolean settled = nowUs - entry.sinceUs >= SETTLE_TIME_US;
        return switch (entry.kind) {
            case FINISHED -> 0;
            case UNUSED -> settled ? 1 : 4;
            case RECEIVING -> settled ? 2 : NOT_CLOSABLE;
            case BETWEEN_REQUESTS -> 3;
            case JOB_STATUS_SENDER -> 5;
        };
    }

    @Test
    public void nextToCloseFollowsTheRanking() {
        long seed = 77;
        Random random = new Random(seed);
        IdleConnections<Integer> idleConnections = new IdleConnections<>(SETTLE_TIME_US);
        List<Entry<Integer>> entries = new ArrayList<>();
        Map<Integer, ModelEntry> model = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            entries.add(new Entry<>(i));
        }
        long nowUs = 1_000_000;
        for (int step = 0; step < 20_000; step++) {
            nowUs += random.nextInt(9000);
            Entry<Integer> entry = entries.get(random.nextInt(entries.size()));
            if (random.nextInt(4) == 0) {
                idleConnections.remove(entry);
                model.remove(entry.connection);
            } else {
                Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
                idleConnections.put(entry, kind, nowUs);
                model.put(entry.connection, new ModelEntry(kind, nowUs, step));
            }
            Integer expected = null;
            for (Map.Entry<Integer, ModelEntry> e : model.entrySet()) {
                ModelEntry best = expected == null ? null : model.get(expected);
                int rank = rank(e.getValue(), nowUs);
                if (rank < NOT_CLOSABLE
                        && (best == null
                                || rank < rank(best, nowUs)
                                || (rank == rank(best, nowUs) && e.getValue().step < best.step))) {
                    expected = e.getKey();
                }
            }
            Entry<Integer> actual = idleConnections.nextToClose(nowUs);
            assertEquals(actual == null ? null : actual.connection, expected, "seed " + seed + ", step " + step);
        }
    }

    /** A message that arrives in ever more pieces gains no time by it. */
    @Test
    public void repeatedPutWithTheSameTimeKeepsThePosition() {
        IdleConnections<String> idleConnections = new IdleConnections<>(SETTLE_TIME_US);
        Entry<String> slow = new Entry<>("slow");
        Entry<String> later = new Entry<>("later");
        idleConnections.put(slow, Kind.RECEIVING, 1);
        idleConnections.put(later, Kind.RECEIVING, 2);
        idleConnections.put(slow, Kind.RECEIVING, 1);
        assertEquals(idleConnections.nextToClose(1 + SETTLE_TIME_US).connection, "slow");
    }

    @Test
    public void aRequeuedConnectionComesAfterTheOthersOfItsKind() {
        IdleConnections<String> idleConnections = new IdleConnections<>(SETTLE_TIME_US);
        Entry<String> one = new Entry<>("one");
        Entry<String> two = new Entry<>("two");
        assertNull(idleConnections.nextToClose(0));
        idleConnections.put(one, Kind.BETWEEN_REQUESTS, 1);
        idleConnections.put(two, Kind.BETWEEN_REQUESTS, 2);
        idleConnections.requeue(one, 3);
        assertEquals(idleConnections.nextToClose(4).connection, "two");
        idleConnections.remove(two);
        idleConnections.remove(two);
        assertEquals(idleConnections.nextToClose(4).connection, "one");
    }
}
