package olivechute.loadbalancing;

/**
 * Statistics over all endpoints and over this node's own traffic. Each value is written by the class that measures it
 * and read by the others, on the event loop. Times are microseconds.
 */
final class EndpointStats {
    private static final double CONNECT_DELAY_SAMPLE_WEIGHT = 0.2;
    private static final double RUN_TIME_SAMPLE_WEIGHT = 0.02;
    private static final double IN_FLIGHT_SAMPLE_WEIGHT = 0.1;

    /** Mean free slots of the endpoints with a fresh load report; NaN if there is none. */
    double meanFreeSlots = Double.NaN;
    /** Largest number of slots observed at one endpoint. */
    double maxSlotsObserved = 1;

    // Medians over the active endpoints, updated by OutlierDetector.
    double medianRelativeRunTime = 1;
    double medianStartWaitUs;
    double medianErrorRate;

    /** Time of the last report from any endpoint that a request started. */
    long lastStartReportAtUs;

    private double meanRunTimeUs = LoadReportState.REPORT_DELAY_US;
    private double connectDelayUs;
    private int attemptsInFlight;
    private double meanAttemptsInFlight;

    void updateMaxSlots(double slots) {
        maxSlotsObserved = Math.max(maxSlotsObserved, slots);
    }

    void onFinished(double runTimeUs) {
        meanRunTimeUs += RUN_TIME_SAMPLE_WEIGHT * (runTimeUs - meanRunTimeUs);
    }

    /** Returns the smoothed running time of recent requests of all classes. */
    double meanRunTimeUs() {
        return meanRunTimeUs;
    }

    void onConnectDelay(double delayUs) {
        connectDelayUs += CONNECT_DELAY_SAMPLE_WEIGHT * (delayUs - connectDelayUs);
    }

    /** Returns the smoothed delay that new connections recently added to the start of their first request. */
    double connectDelayUs() {
        return connectDelayUs;
    }

    void onSend() {
        attemptsInFlight++;
    }

    void onAttemptEnd() {
        attemptsInFlight--;
    }

    /** Called once per {@link ShareController#INTERVAL_US}. */
    void sampleAttemptsInFlight() {
        meanAttemptsInFlight += IN_FLIGHT_SAMPLE_WEIGHT * (attemptsInFlight - meanAttemptsInFlight);
    }

    /** Returns the smoothed number of this node's attempts in flight. */
    double meanAttemptsInFlight() {
        return meanAttemptsInFlight;
    }
}
