package olivechute.loadbalancing;

/**
 * What this node believes of its endpoints as a whole, and of its own traffic. Each figure is kept by the class that
 * measures it and read by the others. Times are microseconds.
 */
final class EndpointStats {
    private static final double CONNECT_DELAY_SAMPLE_WEIGHT = 0.2;
    private static final double RUN_TIME_SAMPLE_WEIGHT = 0.02;
    private static final double IN_FLIGHT_SAMPLE_WEIGHT = 0.1;

    /** Mean free slots of the endpoints whose reports are fresh; NaN while none is. */
    double meanFreeSlots = Double.NaN;
    /** The most slots that one endpoint was seen to have. */
    double maxSlotsObserved = 1;

    double medianRelativeRunTime = 1;
    double medianStartWaitUs;
    double medianErrorRate;

    /** When an endpoint last reported that a request started. */
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

    /** Running time of requests lately, of all classes. */
    double meanRunTimeUs() {
        return meanRunTimeUs;
    }

    void onConnectDelay(double delayUs) {
        connectDelayUs += CONNECT_DELAY_SAMPLE_WEIGHT * (delayUs - connectDelayUs);
    }

    /** What a new connection lately added to the wait of its first request. */
    double connectDelayUs() {
        return connectDelayUs;
    }

    void onSend() {
        attemptsInFlight++;
    }

    void onAttemptEnd() {
        attemptsInFlight--;
    }

    /** Once an interval. */
    void sampleAttemptsInFlight() {
        meanAttemptsInFlight += IN_FLIGHT_SAMPLE_WEIGHT * (attemptsInFlight - meanAttemptsInFlight);
    }

    /** Attempts of this node in flight, smoothed. */
    double meanAttemptsInFlight() {
        return meanAttemptsInFlight;
    }
}
