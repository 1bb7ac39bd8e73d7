package olivechute.loadbalancing;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Bounds what this node sends to an endpoint whose process just started, so that the sum over the fleet stays under
 * what the endpoint bears: its present capacity times {@code rules.overloadMultiple} over
 * {@code rules.overloadWindowUs}. Nodes do not see each other's requests, so each has a part of that budget by its
 * traffic. The budget, its spread and the assumptions are derived in docs/design.md, "The ramp of an endpoint that just
 * started".
 */
final class SlowStart {
    /** Standard deviations of the fleet's calls that are left free under the budget. */
    private static final double MARGIN_DEVIATIONS = 2;
    /** The part of the budget that all nodes share alike, whatever their traffic. */
    private static final double EQUAL_FRACTION = 0.25;
    /** The part of the budget that is used, as a core may have up to a third more slots than it bears. */
    private static final double USED_FRACTION = 0.75;
    /** Of the slots that were seen in use over the fleet's mean this part is believed, where none are reported. */
    private static final double OBSERVED_EXCESS_FRACTION = 0.75;
    /** Weight of the last interval in the smoothed figures of the fleet. */
    private static final double INTERVAL_SAMPLE_WEIGHT = 0.1;

    private final ServiceRules rules;
    private final int fleetSize;
    private final boolean loadReported;
    private final List<RequestClassStats> classes;
    private final SplittableRandom random;
    private double meanAttemptsInFlight;
    /** Slots in use by all nodes; NaN where none are reported. */
    private double slotsInUse = Double.NaN;

    /** {@code classes} is the caller's list, read at each decision. */
    SlowStart(LoadBalancerSettings settings, List<RequestClassStats> classes, SplittableRandom random) {
        this.rules = settings.rules();
        this.fleetSize = settings.fleetSize();
        this.loadReported = settings.loadReporting() != LoadReporting.NONE;
        this.classes = classes;
        this.random = random;
    }

    /**
     * Called once an interval.
     *
     * @param ownMeanInFlight attempts of this node in flight
     * @param meanFreeSlots free slots that endpoints report
     */
    void onInterval(long nowUs, Collection<Endpoint> endpoints, double ownMeanAttemptsInFlight, double meanFreeSlots) {
        meanAttemptsInFlight = ownMeanAttemptsInFlight;
        double usedSlots = 0;
        for (Endpoint endpoint : endpoints) {
            if (endpoint.active()) {
                usedSlots += endpoint.kindStats.maxSlots - meanFreeSlots;
                if (!endpoint.inSlowStart(nowUs, rules)) {
                    endpoint.kindStats.countWarmedUp(endpoint.runningSlots());
                }
            }
        }
        slotsInUse = Smoothing.smooth(slotsInUse, usedSlots, INTERVAL_SAMPLE_WEIGHT);
        for (Endpoint endpoint : endpoints) {
            endpoint.kindStats.endInterval(INTERVAL_SAMPLE_WEIGHT);
        }
    }

    /**
     * Whether an endpoint may get this request now; always so once its slow start is over. This node's part of the
     * budget is granted in whole calls of each class by its work, to be used for requests of any class; a random draw
     * for the endpoint rounds fractions.
     */
    boolean admits(long nowUs, Endpoint endpoint, PendingRequest request) {
        long windowStartUs = nowUs - rules.overloadWindowUs();
        double capacityFraction = endpoint.slowStartCapacity(windowStartUs, rules);
        if (capacityFraction >= 1) {
            return true;
        }
        double totalSlotTimeUs = 0;
        double meanReferenceWorkUs = 0; // work of a call, weighed by work
        double sumOfSquaredWork = 0; // of the work of a call
        for (RequestClassStats requestClass : classes) {
            totalSlotTimeUs += requestClass.totalSlotTimeUs();
            meanReferenceWorkUs += (requestClass.totalSlotTimeUs() * requestClass.referenceWorkUs()
                            - meanReferenceWorkUs * requestClass.totalSlotTimeUs())
                    / totalSlotTimeUs;
            sumOfSquaredWork += requestClass.referenceWorkUs() * requestClass.referenceWorkUs();
        }
        double slotCapacity = rules.overloadMultiple()
                * capacityFraction
                * estimatedSlots(endpoint.kindStats)
                / endpoint.latencyStats.longTermRelativeRunTime();
        double sustainableRequests = slotCapacity * rules.overloadWindowUs() / meanReferenceWorkUs;
        double budgetRequests = fleetBudgetRequests(sustainableRequests, sumOfSquaredWork, meanReferenceWorkUs);
        double nodeBudgetUs =
                Math.min(sustainableRequests, trafficWeight() * budgetRequests) * meanReferenceWorkUs / fleetSize;
        double grantedWorkUs = grantedWorkUs(endpoint, nodeBudgetUs, totalSlotTimeUs);
        double requiredWorkUs = Math.min(1, request.referenceRequests()) * request.classStats.referenceWorkUs();
        return endpoint.slowStartSends.workSinceUs(windowStartUs) + requiredWorkUs <= grantedWorkUs;
    }

    private double grantedWorkUs(Endpoint endpoint, double nodeBudgetUs, double totalSlotTimeUs) {
        double sumUs = 0;
        for (RequestClassStats requestClass : classes) {
            double roundingOffset =
                    (endpoint.slowStartSends.roundingDraw(random) + (double) requestClass.index / classes.size()) % 1;
            sumUs += requestClass.referenceWorkUs()
                    * Math.ceil(nodeBudgetUs
                                    * requestClass.totalSlotTimeUs()
                                    / totalSlotTimeUs
                                    / requestClass.referenceWorkUs()
                            - roundingOffset);
        }
        return sumUs;
    }

    /**
     * Slots that an endpoint of this kind is taken to have. Where none are reported, a node sees its own requests
     * alone, and few of them at one endpoint at a time. Then it takes the slots that all nodes would use at a warm one
     * if each had this node's traffic. Over all nodes these figures have the slots in use as their mean, so that the
     * parts together stay within the budget; a node that has seen more takes most of what is over it as well.
     */
    private double estimatedSlots(EndpointKindStats kindStats) {
        double usedSlots = fleetSize * kindStats.runningSlotsPerEndpoint();
        if (loadReported || Double.isNaN(usedSlots)) {
            return kindStats.maxSlots;
        }
        return usedSlots + OBSERVED_EXCESS_FRACTION * Math.max(0, kindStats.maxSlots - usedSlots);
    }

    /** Calls that all nodes together may send where the endpoint bears so many. */
    private double fleetBudgetRequests(
            double sustainableRequests, double sumOfSquaredWork, double meanReferenceWorkUs) {
        double sqrtArrivalBound =
                Math.sqrt(MARGIN_DEVIATIONS * MARGIN_DEVIATIONS / 4 + sustainableRequests) - MARGIN_DEVIATIONS / 2;
        double roundingBound = sustainableRequests
                - MARGIN_DEVIATIONS / 2 * Math.sqrt(fleetSize * sumOfSquaredWork) / meanReferenceWorkUs;
        return Math.min(
                USED_FRACTION * sustainableRequests, Math.max(sqrtArrivalBound * sqrtArrivalBound, roundingBound));
    }

    /** This node's part of the budget by its traffic; the mean over all nodes is one. */
    private double trafficWeight() {
        double relativeTraffic = fleetSize * meanAttemptsInFlight / slotsInUse;
        return slotsInUse > 0 ? EQUAL_FRACTION + (1 - EQUAL_FRACTION) * relativeTraffic : 1;
    }
}
