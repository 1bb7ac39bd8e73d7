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
 * The health of all endpoints as their connections show it, for the load balancer: which are ejected, never so many
 * that the others would be overloaded, and which retries the node has a budget for. Runs on the event loop; times are
 * microseconds.
 */
public final class ConnectionHealth implements HealthView {
    private static final long INITIAL_ACCEPT_TIMEOUT_US = 300_000;
    private static final long MAX_ACCEPT_TIMEOUT_US = 1_000_000;
    private static final long UNBOUNDED_US = Long.MAX_VALUE / 4;

    private final HealthSettings settings;
    private final int classCount;
    private final DoubleSupplier random;
    private final Map<String, EndpointConnectionHealth> endpoints = new LinkedHashMap<>();
    private final RetryBudget retryBudget;
    private final EndpointListLease lease;
    /** By class: the time from the acceptance to the end. */
    private final AdaptiveTimeout[] runTimes;

    /**
     * Makes one that knows no endpoint.
     *
     * @param tenants names of the tenants in the settings
     * @param random draws from 0 to 1
     * @param lease the endpoint list's
     */
    public ConnectionHealth(
            HealthSettings settings,
            int classCount,
            Collection<String> tenants,
            DoubleSupplier random,
            EndpointListLease lease) {
        this.settings = settings;
        this.classCount = classCount;
        this.random = random;
        this.lease = lease;
        this.retryBudget = new RetryBudget(tenants, settings.tenantRetries(), settings.allRetries());
        this.runTimes = new AdaptiveTimeout[classCount];
        Arrays.setAll(runTimes, c -> new AdaptiveTimeout(0, 0, UNBOUNDED_US));
    }

    @Override
    public EndpointHealth endpoint(String name) {
        return healthOf(name);
    }

    private EndpointConnectionHealth healthOf(String name) {
        return endpoints.computeIfAbsent(
                name,
                n -> new EndpointConnectionHealth(
                        this,
                        classCount,
                        new AdaptiveTimeout(
                                INITIAL_ACCEPT_TIMEOUT_US, settings.minAcceptTimeoutUs(), MAX_ACCEPT_TIMEOUT_US)));
    }

    /** An endpoint is on the list, and its process started at that moment. */
    public void onListed(String name, long startedAtUs) {
        healthOf(name).onListed(startedAtUs);
    }

    /** Forgets the endpoints that do not match. */
    public void retainOnly(Predicate<String> retained) {
        endpoints.keySet().removeIf(name -> !retained.test(name));
    }

    /** An attempt was sent; {@code first}: it is the first of its request. */
    public void onSend(long nowUs, String endpoint, int classIndex, String tenant, boolean first) {
        healthOf(endpoint).onSend(classIndex);
        if (first) {
            retryBudget.onFirstAttempt(nowUs, tenant);
        }
    }

    /** The endpoint accepted an attempt, so long after it was sent. */
    public void onAccepted(String endpoint, int classIndex, long tookUs) {
        healthOf(endpoint).onAccepted(classIndex, tookUs);
    }

    /** An attempt ended, {@code ranUs} after its acceptance, negative if it was not accepted. */
    public void onEnd(long nowUs, String endpoint, int classIndex, AttemptOutcome outcome, long ranUs) {
        healthOf(endpoint).onEnd(nowUs, classIndex, outcome, ranUs >= 0);
        if (outcome == AttemptOutcome.OK && ranUs >= 0) {
            runTimes[classIndex].onSuccess(ranUs);
        }
    }

    /** How long this endpoint may take to accept a request. */
    public long acceptTimeoutUs(String endpoint) {
        return healthOf(endpoint).acceptTimeoutUs();
    }

    /** A retry that cannot end in time however well it goes is work for nobody. */
    @Override
    public boolean allowsRetry(long nowUs, String tenant, int classIndex, AttemptOutcome last, long timeLeftUs) {
        return timeLeftUs > runTimes[classIndex].quickUs() && retryBudget.tryTake(nowUs, tenant, last);
    }

    @Override
    public long listStaleForUs(long nowUs) {
        return lease.expiredForUs(nowUs);
    }

    double random() {
        return random.getAsDouble();
    }

    /** Whether one more endpoint may be ejected, for all classes or for one. */
    boolean mayEject(long nowUs, EndpointConnectionHealth candidate, int classIndex) {
        int ejected = 0;
        for (EndpointConnectionHealth endpoint : endpoints.values()) {
            ejected += endpoint != candidate && endpoint.ejected(nowUs, classIndex) ? 1 : 0;
        }
        boolean allClasses = classIndex == EndpointConnectionHealth.ALL_CLASSES;
        double part = allClasses ? settings.maxEjectedPart() : settings.maxClassEjectedPart();
        return ejected + 1 <= Math.max(1, (int) (part * endpoints.size())) && endpoints.size() > 1;
    }

    /** The median error rate of the endpoints: where all fail alike the fault is not theirs. */
    double medianErrorRate() {
        double[] rates = endpoints.values().stream()
                .filter(EndpointConnectionHealth::hasErrorRate)
                .mapToDouble(EndpointConnectionHealth::errorRate)
                .sorted()
                .toArray();
        return rates.length == 0 ? 0 : rates[rates.length / 2];
    }

    /** How many retries the node has left, in one line for the log. */
    public String describe(long nowUs) {
        return "retries left " + Math.round(retryBudget.availableTokens(nowUs));
    }

    /** Passes on what is believed of each endpoint: its name and a line for the log. */
    public void describe(long nowUs, BiConsumer<String, String> consumer) {
        endpoints.forEach((name, health) -> consumer.accept(name, health.describe(nowUs)));
    }
}
