package olivechute.health;

import java.util.Arrays;

/**
 * Estimates how much longer a request takes on a new connection than on a reused one, from the decision to send until
 * the answer: the connect, and the delay that the endpoint's handshake adds to the first request. The estimate is the
 * difference between the medians of the latest answers of either kind, as unresponsive endpoints answer late on both.
 * Times are microseconds. Thread-safe.
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

    /**
     * Adds a sample: the first answer on a new connection came {@code elapsedUs} after the connection was requested.
     */
    public synchronized void addNewConnectionSample(long elapsedUs) {
        newConnectionMedian.add(elapsedUs);
    }

    /**
     * Adds a sample: an answer on a reused connection came {@code elapsedUs} after its request was due to be written.
     */
    public synchronized void addReusedConnectionSample(long elapsedUs) {
        reusedConnectionMedian.add(elapsedUs);
    }

    /** Returns the extra time of a new connection, 0 while either median is unknown. */
    public synchronized long extraConnectTimeUs() {
        if (newConnectionMedian.sampleCount == 0 || reusedConnectionMedian.sampleCount == 0) {
            return 0;
        }
        return Math.max(0, newConnectionMedian.median - reusedConnectionMedian.median);
    }
}
