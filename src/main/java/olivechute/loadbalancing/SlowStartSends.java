package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * What this node sent to one endpoint in the last overload window of its slow start, and the node's random draw for it.
 */
final class SlowStartSends {
    private static final double NOT_DRAWN = -1;

    private record RecentSend(long sentAtUs, RequestClassStats classStats, double referenceRequests) {}

    private final ArrayDeque<RecentSend> recentSends = new ArrayDeque<>();
    private double roundingDraw = NOT_DRAWN;

    void onSend(long nowUs, PendingRequest request) {
        recentSends.addLast(new RecentSend(nowUs, request.classStats, request.referenceRequests()));
    }

    /** Slot time of what was sent after a moment, as its classes run now; earlier sends are forgotten. */
    double workSinceUs(long sinceUs) {
        while (!recentSends.isEmpty() && recentSends.peekFirst().sentAtUs() <= sinceUs) {
            recentSends.removeFirst();
        }
        double workUs = 0;
        for (RecentSend send : recentSends) {
            workUs += send.referenceRequests() * send.classStats().referenceWorkUs();
        }
        return workUs;
    }

    /** From 0 to 1; drawn once for each endpoint, and the same from then on. */
    double roundingDraw(SplittableRandom random) {
        if (roundingDraw == NOT_DRAWN) {
            roundingDraw = random.nextDouble();
        }
        return roundingDraw;
    }
}
