package olivechute.loadbalancing;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Limits what this node sends to an endpoint whose process just started, so that the sum over the fleet stays below
 * what the endpoint sustains: its current capacity times {@code rules.overloadMultiple} over
 * {@code rules.overloadWindowUs}. Nodes do not see each other's requests, so each gets a part of that budget according
 * to its traffic. The budget, its variance and the assumptions are derived in docs/design.md, "The ramp of an endpoint
 * that just started". Called on the event loop.
 */
final class SlowStart {
    /** Margin below the sustainable load, in standard deviations of the fleet's requests. */
    private static final double MARGIN_DEVIATIONS = 2;
    /** Fraction of the budget that is divided equally among nodes, independent of their traffic. */
    private static final double EQUAL_FRACTION = 0.25;
    /** Fraction of the budget that is used, because a core may have up to a third more slots than it sustains. */
    private static final double USED_FRACTION = 0.75;
    /** Without load reports, fraction that is trusted of the slots observed in use above the fleet's mean. */
    private static final double OBSERVED_EXCESS_FRACTION = 0.75;
    /** Weight of the last interval in the smoothed fleet statistics. */
    private static final double INTERVAL_SAMPLE_WEIGHT = 0.1;

    private final ServiceRules rules;
    private final int fleetSize;
    private final boolean loadReported;
    private final List<RequestClassStats> classes;
    private final SplittableRandom random;
    private double meanAttemptsInFlight;
    /** Slots in use by all nodes; NaN if there are no load reports. */
    private double slotsInUse = Double.NaN;

    /** @param classes the caller's list, read at each decision */
    SlowStart(LoadBalancerSettings settings, List<RequestClassStats> classes, SplittableRandom random) {
        this.rules = settings.rules();
        this.fleetSize = settings.fleetSize();
        this.loadReported = settings.loadReporting() != LoadReporting.NONE;
        this.classes = classes;
        this.random = random;
    }

    /**
     * Updates the fleet statistics; called once per {@link ShareController#INTERVAL_US}.
     *
     * @param ownMeanAttemptsInFlight attempts of this node in flight
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
     * Returns whether the endpoint may get this request now; always true once its slow start is over. This node's part
     * of the budget is granted in whole reference requests of each class, in proportion to the classes' slot time, and
     * may be used for requests of any class. A random draw per endpoint rounds fractions.
     */
    boolean admits(long nowUs, Endpoint endpoint, PendingRequest request) {
        long windowStartUs = nowUs - rules.overloadWindowUs();
        double capacityFraction = endpoint.slowStartCapacity(windowStartUs, rules);
        if (capacityFraction >= 1) {
            return true;
        }
        double totalSlotTimeUs = 0;
        double meanReferenceWorkUs = 0; // reference work, weighted by slot time
        double sumOfSquaredWork = 0; // of the reference work of each class
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
     * Returns the slots that an endpoint of this kind is assumed to have. Without load reports a node sees only its own
     * requests, few of them at one endpoint at a time. It then assumes the slots that all nodes would use at an
     * endpoint that has finished its slow start if each had this node's traffic. The mean of these estimates over all
     * nodes is the number of slots in use, so that the nodes' parts together stay within the budget. A node that has
     * observed more slots also counts most of the excess.
     */
    private double estimatedSlots(EndpointKindStats kindStats) {
        double usedSlots = fleetSize * kindStats.runningSlotsPerEndpoint();
        if (loadReported || Double.isNaN(usedSlots)) {
            return kindStats.maxSlots;
        }
        return usedSlots + OBSERVED_EXCESS_FRACTION * Math.max(0, kindStats.maxSlots - usedSlots);
    }

    /**
     * Returns the requests that all nodes together may send to an endpoint that sustains {@code sustainableRequests},
     * both in reference requests. The margin covers the deviation of random arrivals, or, if that allows more, the
     * largest standard deviation that the nodes' rounding can cause.
     */
    private double fleetBudgetRequests(
            double sustainableRequests, double sumOfSquaredWork, double meanReferenceWorkUs) {
        double sqrtOfArrivalBound =
                Math.sqrt(MARGIN_DEVIATIONS * MARGIN_DEVIATIONS / 4 + sustainableRequests) - MARGIN_DEVIATIONS / 2;
        double roundingBound = sustainableRequests
                - MARGIN_DEVIATIONS / 2 * Math.sqrt(fleetSize * sumOfSquaredWork) / meanReferenceWorkUs;
        return Math.min(
                USED_FRACTION * sustainableRequests, Math.max(sqrtOfArrivalBound * sqrtOfArrivalBound, roundingBound));
    }

    /**
     * Returns the weight of this node's part of the budget according to its traffic; the mean over all nodes is one.
     */
    private double trafficWeight() {
        double relativeTraffic = fleetSize * meanAttemptsInFlight / slotsInUse;
        return slotsInUse > 0 ? EQUAL_FRACTION + (1 - EQUAL_FRACTION) * relativeTraffic : 1;
    }
}
