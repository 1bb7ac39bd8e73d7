package olivechute.health;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import olivechute.endpointlist.EndpointListLease;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.EndpointHealth;
import olivechute.loadbalancing.HealthView;
import olivechute.loadbalancing.RetryBudget;

/**
 * The health of all endpoints as observed on their connections, for the load balancer: which endpoints are ejected,
 * never so many that the others would be overloaded, and which retries the retry budget allows. Updated by the proxy;
 * runs on the event loop, and times are microseconds on its clock.
 */
public final class ConnectionHealth implements HealthView {
    private static final long INITIAL_ACCEPT_TIMEOUT_US = 300_000;
    private static final long MAX_ACCEPT_TIMEOUT_US = 1_000_000;
    /** No limit in practice: only the low estimate of the running times is used, not their timeout. */
    private static final long MAX_RUN_TIME_US = Long.MAX_VALUE / 4;

    private final HealthSettings settings;
    private final int classCount;
    private final DoubleSupplier nextRandom;
    private final Map<String, EndpointConnectionHealth> healthByEndpoint = new LinkedHashMap<>();
    private final RetryBudget retryBudget;
    private final EndpointListLease lease;
    /** By request class: the time from acceptance to the end of an attempt. */
    private final AdaptiveTimeout[] runTimeByClass;

    /**
     * Creates a health view without endpoints.
     *
     * @param classCount number of request classes in the settings
     * @param tenants names of the tenants in the settings
     * @param uniformRandom supplies random numbers from 0 to 1
     * @param lease the lease of the endpoint list
     */
    public ConnectionHealth(
            HealthSettings settings,
            int classCount,
            Collection<String> tenants,
            DoubleSupplier uniformRandom,
            EndpointListLease lease) {
        this.settings = settings;
        this.classCount = classCount;
        this.nextRandom = uniformRandom;
        this.lease = lease;
        this.retryBudget = new RetryBudget(tenants, settings.tenantRetryRate(), settings.nodeRetryRate());
        this.runTimeByClass = new AdaptiveTimeout[classCount];
        Arrays.setAll(runTimeByClass, c -> new AdaptiveTimeout(0, 0, MAX_RUN_TIME_US));
    }

    @Override
    public EndpointHealth endpoint(String name) {
        return healthOf(name);
    }

    private EndpointConnectionHealth healthOf(String name) {
        return healthByEndpoint.computeIfAbsent(
                name,
                n -> new EndpointConnectionHealth(
                        this,
                        classCount,
                        new AdaptiveTimeout(
                                INITIAL_ACCEPT_TIMEOUT_US, settings.minAcceptTimeoutUs(), MAX_ACCEPT_TIMEOUT_US)));
    }

    /** Records that an endpoint is listed and when its process started. */
    public void onListed(String name, long startedAtUs) {
        healthOf(name).onListed(startedAtUs);
    }

    /** Removes the endpoints whose names do not match. */
    public void retainOnly(Predicate<String> retained) {
        healthByEndpoint.keySet().removeIf(name -> !retained.test(name));
    }

    /** Records that an attempt was sent; {@code firstAttempt} says whether it is the first of its request. */
    public void onSend(long nowUs, String endpoint, int classIndex, String tenant, boolean firstAttempt) {
        healthOf(endpoint).onSend(classIndex);
        if (firstAttempt) {
            retryBudget.onFirstAttempt(nowUs, tenant);
        }
    }

    /** Records that the endpoint accepted an attempt {@code acceptTimeUs} after it was sent. */
    public void onAccepted(String endpoint, int classIndex, long acceptTimeUs) {
        healthOf(endpoint).onAccepted(classIndex, acceptTimeUs);
    }

    /** Records the end of an attempt, {@code runTimeUs} after its acceptance; negative if it was not accepted. */
    public void onEnd(long nowUs, String endpoint, int classIndex, AttemptOutcome outcome, long runTimeUs) {
        healthOf(endpoint).onEnd(nowUs, classIndex, outcome, runTimeUs >= 0);
        if (outcome == AttemptOutcome.OK && runTimeUs >= 0) {
            runTimeByClass[classIndex].addSample(runTimeUs);
        }
    }

    /** Returns how long the endpoint may take to accept a request. */
    public long acceptTimeoutUs(String endpoint) {
        return healthOf(endpoint).acceptTimeoutUs();
    }

    /**
     * Rejects a retry that could not end in time even if it went well, as its work would be wasted; otherwise takes it
     * from the retry budget.
     */
    @Override
    public boolean allowsRetry(long nowUs, String tenant, int classIndex, AttemptOutcome lastOutcome, long timeLeftUs) {
        return timeLeftUs > runTimeByClass[classIndex].lowEstimateUs()
                && retryBudget.tryTake(nowUs, tenant, lastOutcome);
    }

    @Override
    public long listStaleForUs(long nowUs) {
        return lease.expiredForUs(nowUs);
    }

    double nextRandom() {
        return nextRandom.getAsDouble();
    }

    /** Whether one more endpoint may be ejected, for all request classes or for one. */
    boolean mayEject(long nowUs, EndpointConnectionHealth candidate, int classIndex) {
        int ejectedCount = 0;
        for (EndpointConnectionHealth endpoint : healthByEndpoint.values()) {
            ejectedCount += endpoint != candidate && endpoint.isEjected(nowUs, classIndex) ? 1 : 0;
        }
        boolean allClasses = classIndex == EndpointConnectionHealth.ALL_CLASSES;
        double maxFraction = allClasses ? settings.maxEjectedFraction() : settings.maxClassEjectedFraction();
        return ejectedCount + 1 <= Math.max(1, (int) (maxFraction * healthByEndpoint.size()))
                && healthByEndpoint.size() > 1;
    }

    /**
     * Returns the median error rate of the endpoints. Where all of them fail at a similar rate, the cause is not an
     * individual endpoint.
     */
    double medianErrorRate() {
        double[] rates = healthByEndpoint.values().stream()
                .filter(EndpointConnectionHealth::hasErrorRate)
                .mapToDouble(EndpointConnectionHealth::errorRate)
                .sorted()
                .toArray();
        return rates.length == 0 ? 0 : rates[rates.length / 2];
    }

    /** Returns the retries left in the retry budget as text for the log. */
    public String describeForLog(long nowUs) {
        return "retries left " + Math.round(retryBudget.availableTokens(nowUs));
    }

    /** Passes the name of each endpoint and a one-line description of its health to the consumer. */
    public void describeForLog(long nowUs, BiConsumer<String, String> consumer) {
        healthByEndpoint.forEach((name, health) -> consumer.accept(name, health.describeForLog(nowUs)));
    }
}
