package olivechute.health;

import java.util.Arrays;

/**
 * What a new connection takes beyond one in use, from the decision to send to the answer: the connect, and what the
 * endpoint's handshake adds to the first request. The difference of the medians of the last answers of either kind, as
 * endpoints that hang answer late on both. Times are microseconds; safe for use by several threads.
 */
public final class ConnectTimeEstimator {
    private static final int WINDOW_SAMPLES = 15;

    private final RunningMedian newConnectionMedian = new RunningMedian();
    private final RunningMedian reusedConnectionMedian = new RunningMedian();

    private static final class RunningMedian {
        private final long[] recentSamples = new long[WINDOW_SAMPLES];
        private final long[] sortedSamples = new long[WINDOW_SAMPLES];
        private long sampleCount;
        private long median;

        void add(long sample) {
            recentSamples[(int) (sampleCount++ % WINDOW_SAMPLES)] = sample;
            int size = (int) Math.min(sampleCount, WINDOW_SAMPLES);
            System.arraycopy(recentSamples, 0, sortedSamples, 0, size);
            Arrays.sort(sortedSamples, 0, size);
            median = sortedSamples[size / 2];
        }
    }

    /** The first answer on a new connection came so long after the connection was asked for. */
    public synchronized void addNewConnectionSample(long elapsedUs) {
        newConnectionMedian.add(elapsedUs);
    }

    /** An answer on a connection in use came so long after its request was to be written. */
    public synchronized void addReusedConnectionSample(long elapsedUs) {
        reusedConnectionMedian.add(elapsedUs);
    }

    /** What a new connection takes more; 0 while either median is unknown. */
    public synchronized long extraConnectTimeUs() {
        if (newConnectionMedian.sampleCount == 0 || reusedConnectionMedian.sampleCount == 0) {
            return 0;
        }
        return Math.max(0, newConnectionMedian.median - reusedConnectionMedian.median);
    }
}
