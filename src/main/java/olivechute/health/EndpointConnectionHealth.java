package olivechute.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.EndpointHealth;

/**
 * The health of one endpoint as observed on its connections. An endpoint that accepts requests of one class but not
 * those of another is ejected for the latter class. One that accepts nothing, breaks connections or repeatedly cannot
 * be connected to is ejected for all classes, for longer each time; it returns with a single ordinary request that it
 * has to accept first. {@link ConnectionHealth} limits how many endpoints are ejected at once. Used on the event loop;
 * times are microseconds.
 */
final class EndpointConnectionHealth implements EndpointHealth {
    /** Used instead of a class index: all request classes. */
    static final int ALL_CLASSES = -1;

    private static final long INITIAL_CLASS_EJECTION_US = 1_000_000;
    private static final long MAX_CLASS_EJECTION_US = 16_000_000;
    private static final int CLASS_EJECTION_MULTIPLIER = 4;
    private static final long INITIAL_EJECTION_US = 500_000;
    private static final long MAX_EJECTION_US = 4_000_000;
    private static final int EJECTION_MULTIPLIER = 2;
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;
    private static final double ERROR_RATE_WEIGHT = 0.1;
    private static final double MAX_ERROR_RATE_ABOVE_MEDIAN = 0.4;
    private static final int MIN_RESPONSES = 10;
    /** Bit of {@link #acceptTimeoutClassMask} that all classes from this index on share. */
    private static final int HIGHEST_CLASS_BIT = Integer.SIZE - 1;

    private final ConnectionHealth allEndpoints;
    private final AdaptiveTimeout acceptTimeout;
    private final AdaptiveConcurrencyLimit adaptiveLimit = new AdaptiveConcurrencyLimit();
    private final EjectionBackoff ejection =
            new EjectionBackoff(INITIAL_EJECTION_US, EJECTION_MULTIPLIER, MAX_EJECTION_US);
    private final EjectionBackoff[] classEjections;
    /** By request class: attempts that are neither accepted nor ended. */
    private final int[] unacceptedByClass;

    private final int[] endCountByOutcome = new int[AttemptOutcome.values().length];
    private int acceptedCount;
    private int inFlightCount;
    private int consecutiveAcceptTimeouts;
    /** The classes of the consecutive accept timeouts, one bit per class. */
    private int acceptTimeoutClassMask;

    private int consecutiveConnectFailures;
    private int consecutiveResets;
    private double errorRate;
    private int responseCount;
    /** Whether the endpoint has accepted nothing since its last ejection. */
    private boolean awaitingFirstAcceptance;

    private long startedAtUs;
    private String lastEjectionReason = "";

    EndpointConnectionHealth(ConnectionHealth allEndpoints, int classCount, AdaptiveTimeout acceptTimeout) {
        this.allEndpoints = allEndpoints;
        this.acceptTimeout = acceptTimeout;
        this.unacceptedByClass = new int[classCount];
        this.classEjections = new EjectionBackoff[classCount];
        for (int i = 0; i < classCount; i++) {
            classEjections[i] =
                    new EjectionBackoff(INITIAL_CLASS_EJECTION_US, CLASS_EJECTION_MULTIPLIER, MAX_CLASS_EJECTION_US);
        }
    }

    /**
     * Returns false while the endpoint or the class is ejected. A class on probation is tried with one request at a
     * time.
     */
    @Override
    public boolean admits(long nowUs, int classIndex) {
        EjectionBackoff classEjection = classEjections[classIndex];
        if (ejection.isEjected(nowUs) || classEjection.isEjected(nowUs)) {
            return false;
        }
        return !classEjection.isOnProbation() || unacceptedByClass[classIndex] == 0;
    }

    @Override
    public int concurrencyLimit() {
        return adaptiveLimit.limit();
    }

    long acceptTimeoutUs() {
        return acceptTimeout.timeoutUs();
    }

    /**
     * Records that the endpoint is listed. If its process was restarted, failures of the previous process no longer
     * count.
     */
    void onListed(long processStartedAtUs) {
        if (processStartedAtUs != startedAtUs) {
            startedAtUs = processStartedAtUs;
            ejection.reset();
            for (EjectionBackoff classEjection : classEjections) {
                classEjection.reset();
            }
            resetConsecutiveFailures();
            errorRate = 0;
            responseCount = 0;
            lastEjectionReason = "restarted";
        }
    }

    void onSend(int classIndex) {
        inFlightCount++;
        unacceptedByClass[classIndex]++;
    }

    void onAccepted(int classIndex, long acceptTimeUs) {
        unacceptedByClass[classIndex] = Math.max(0, unacceptedByClass[classIndex] - 1);
        acceptedCount++;
        acceptTimeout.addSample(acceptTimeUs);
        classEjections[classIndex].onSuccess();
        ejection.onSuccess();
        awaitingFirstAcceptance = false;
        resetConsecutiveFailures();
    }

    private void resetConsecutiveFailures() {
        consecutiveAcceptTimeouts = 0;
        acceptTimeoutClassMask = 0;
        consecutiveConnectFailures = 0;
        consecutiveResets = 0;
    }

    void onEnd(long nowUs, int classIndex, AttemptOutcome outcome, boolean accepted) {
        inFlightCount = Math.max(0, inFlightCount - 1);
        if (!accepted) {
            unacceptedByClass[classIndex] = Math.max(0, unacceptedByClass[classIndex] - 1);
        }
        endCountByOutcome[outcome.ordinal()]++;
        switch (outcome) {
            case OK -> {
                countResponse(false);
                adaptiveLimit.onServed(inFlightCount + 1);
            }
            case ERROR -> onError(nowUs);
            case REJECTED, RETURNED -> adaptiveLimit.decrease(nowUs, inFlightCount);
            case CONNECT_FAILED -> {
                if (++consecutiveConnectFailures >= CONSECUTIVE_FAILURES_TO_EJECT) {
                    eject(nowUs, consecutiveConnectFailures + " connects failed in a row");
                }
            }
            case RESET -> {
                if (!accepted && ++consecutiveResets >= CONSECUTIVE_FAILURES_TO_EJECT) {
                    eject(nowUs, consecutiveResets + " new connections broke in a row");
                }
                adaptiveLimit.decrease(nowUs, inFlightCount);
            }
            case ACCEPT_TIMEOUT -> onAcceptTimeout(nowUs, classIndex);
            case CANCEL_UNCONFIRMED -> {
                if (allEndpoints.mayEject(nowUs, this, ALL_CLASSES)) {
                    eject(nowUs, "silent and cannot be connected to");
                } else {
                    onAcceptTimeout(nowUs, classIndex);
                }
            }
            case TIMEOUT, CANCELLED, NOT_SENT, STALE_CONNECTION, SUPPRESSED -> {
                // these outcomes say nothing about the endpoint
            }
        }
    }

    private void onError(long nowUs) {
        countResponse(true);
        if (hasErrorRate() && errorRate > allEndpoints.medianErrorRate() + MAX_ERROR_RATE_ABOVE_MEDIAN) {
            eject(nowUs, "errors " + formatPercent(errorRate));
            responseCount = 0;
        }
    }

    /**
     * Ejects the class, or the whole endpoint if accept timeouts occurred in several classes: a timeout in a single
     * class may be a fault of that class or of the network.
     */
    private void onAcceptTimeout(long nowUs, int classIndex) {
        consecutiveAcceptTimeouts++;
        acceptTimeoutClassMask |= 1 << Math.min(HIGHEST_CLASS_BIT, classIndex);
        if (Integer.bitCount(acceptTimeoutClassMask) > 1
                && consecutiveAcceptTimeouts >= CONSECUTIVE_FAILURES_TO_EJECT) {
            eject(nowUs, consecutiveAcceptTimeouts + " accept timeouts in a row");
        } else if (allEndpoints.mayEject(nowUs, this, classIndex)) {
            classEjections[classIndex].eject(nowUs, allEndpoints.nextRandom());
            lastEjectionReason = "class " + classIndex + " not accepted";
        }
    }

    private void eject(long nowUs, String reason) {
        if (allEndpoints.mayEject(nowUs, this, ALL_CLASSES)) {
            ejection.eject(nowUs, allEndpoints.nextRandom());
            awaitingFirstAcceptance = true;
            adaptiveLimit.resetToMinimum();
            lastEjectionReason = reason;
        }
    }

    private void countResponse(boolean error) {
        responseCount++;
        errorRate += ERROR_RATE_WEIGHT * ((error ? 1 : 0) - errorRate);
    }

    double errorRate() {
        return errorRate;
    }

    boolean hasErrorRate() {
        return responseCount >= MIN_RESPONSES;
    }

    /** Whether the endpoint is ejected for all classes, or for the given one. */
    boolean isEjected(long nowUs, int classIndex) {
        return ejection.isEjected(nowUs) || (classIndex != ALL_CLASSES && classEjections[classIndex].isEjected(nowUs));
    }

    /**
     * Returns the state of the endpoint, its counters and the reason for its last ejection, as one line for the log.
     */
    String describeForLog(long nowUs) {
        List<String> parts = new ArrayList<>();
        parts.add(describeState(nowUs));
        for (int c = 0; c < classEjections.length; c++) {
            if (classEjections[c].isEjected(nowUs)) {
                parts.add("class " + c + " ejected for " + formatMillis(classEjections[c].ejectedUntilUs() - nowUs));
            } else if (classEjections[c].isOnProbation()) {
                parts.add("class " + c + " on probation");
            }
        }
        parts.add("in flight " + inFlightCount + " of " + adaptiveLimit.limit());
        parts.add("accepted " + acceptedCount + " in " + formatMillis(acceptTimeout.meanUs()) + ", timeout "
                + formatMillis(acceptTimeout.timeoutUs()));
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            if (endCountByOutcome[outcome.ordinal()] > 0) {
                parts.add(outcome.name().toLowerCase(Locale.ROOT) + " " + endCountByOutcome[outcome.ordinal()]);
            }
        }
        parts.add("errors " + formatPercent(errorRate));
        if (!lastEjectionReason.isEmpty()) {
            parts.add("last: " + lastEjectionReason);
        }
        return String.join(", ", parts);
    }

    private String describeState(long nowUs) {
        if (ejection.isEjected(nowUs)) {
            return "ejected for " + formatMillis(ejection.ejectedUntilUs() - nowUs);
        }
        return awaitingFirstAcceptance ? "returning" : "in use";
    }

    private static String formatMillis(long us) {
        return us / 1000 + " ms";
    }

    private static String formatPercent(double fraction) {
        return Math.round(100 * fraction) + "%";
    }
}
