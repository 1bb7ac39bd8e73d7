package olivechute.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import olivechute.fleet.wire.ClassFigures;
import olivechute.fleet.wire.NodeFigures;
import org.junit.jupiter.api.Test;

/** Tests the mapping of the counters to message fields and the independence of snapshots. */
class RequestCountersTest {
    private static final MetricsSnapshot.Origin ORIGIN =
            new MetricsSnapshot.Origin("n0", "v1", 7, List.of("verify", "sign"));

    @Test
    void eachCounterHasItsOwnMessageField() {
        RequestCounters counts = new RequestCounters(2);
        times(1, () -> counts.onReceived(1));
        times(2, () -> counts.onServed(1, false));
        times(3, () -> counts.onServed(1, true));
        times(4, () -> counts.onRejected(1));
        times(5, () -> counts.onFailed(1));
        times(6, () -> counts.onClientDisconnected(1));
        times(7, counts::onRuleViolated);
        times(8, () -> counts.onFirstSend(60));
        counts.onReceived(0);
        NodeFigures message = counts.snapshot(5_000_999).toMessage(ORIGIN);
        assertEquals(
                ClassFigures.newBuilder()
                        .setName("sign")
                        .setTaken(1)
                        .setServedInTime(2)
                        .setServedLate(3)
                        .setRefused(4)
                        .setFailed(5)
                        .setGone(6)
                        .build(),
                message.getClasses(1));
        assertEquals(ClassFigures.newBuilder().setName("verify").setTaken(1).build(), message.getClasses(0));
        assertEquals(
                "n0 v1 7 1 5000",
                message.getNode() + " " + message.getVersion() + " " + message.getIncarnation() + " "
                        + message.getSequence() + " " + message.getAtMs());
        assertEquals(7, message.getRulesBroken());
        assertEquals(DelayBuckets.BUCKET_COUNT, message.getDelayCount());
        assertEquals(8, message.getDelay(1));
    }

    @Test
    void aSnapshotIsIndependentOfLaterCounts() {
        RequestCounters counts = new RequestCounters(2);
        counts.onReceived(0);
        MetricsSnapshot first = counts.snapshot(0);
        counts.onReceived(0);
        counts.onFirstSend(1);
        MetricsSnapshot second = counts.snapshot(0);
        assertEquals(1, first.toMessage(ORIGIN).getClasses(0).getTaken());
        assertEquals(0, first.toMessage(ORIGIN).getDelay(0));
        assertEquals(2, second.toMessage(ORIGIN).getClasses(0).getTaken());
        assertEquals(first.sequence() + 1, second.sequence());
    }

    private static void times(int n, Runnable task) {
        for (int i = 0; i < n; i++) {
            task.run();
        }
    }
}
