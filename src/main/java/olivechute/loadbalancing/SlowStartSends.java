package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * What this node sent to one endpoint in the last overload window of its slow start, and the node's random number for
 * rounding at that endpoint.
 */
final class SlowStartSends {
    private static final double NOT_DRAWN = -1;

    private record RecentSend(long sentAtUs, RequestClassStats classStats, double referenceRequests) {}

    private final ArrayDeque<RecentSend> recentSends = new ArrayDeque<>();
    private double roundingDraw = NOT_DRAWN;

    void onSend(long nowUs, PendingRequest request) {
        recentSends.addLast(new RecentSend(nowUs, request.classStats, request.referenceRequests()));
    }

    /**
     * Returns the slot time of the requests sent after {@code sinceUs}, at the current reference work of their classes,
     * and forgets earlier ones.
     */
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

    /** Returns a random number from 0 to 1 that is drawn once per endpoint and then stays the same. */
    double roundingDraw(SplittableRandom random) {
        if (roundingDraw == NOT_DRAWN) {
            roundingDraw = random.nextDouble();
        }
        return roundingDraw;
    }
}
