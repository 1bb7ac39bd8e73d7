package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The load balancer of a node. It passes events to the policies, each implemented by a class of its own, and makes no
 * decisions itself. {@link AdmissionControl} admits a request, {@link TenantQueues} queue it, {@link QueueDispatcher}
 * takes it from the queue and {@link EndpointSelector} selects its endpoint; {@link RequestLifecycle} manages it after
 * admission and {@link RetryPolicy} decides on retries.
 *
 * <p>Not thread-safe; all calls are made on the event loop.
 */
public final class ShareLoadBalancer implements LoadBalancer {
    /** Maximum interval between checks of the queued requests. */
    private static final long MAX_QUEUE_CHECK_INTERVAL_US = 20_000;

    private static final long MIN_QUEUE_CHECK_INTERVAL_US = 1_000;
    /** Minimum number of checks within the shortest latency objective. */
    private static final long QUEUE_CHECKS_PER_OBJECTIVE = 8;
    /** Interval between examinations of the endpoints. */
    private static final long EXAMINATION_INTERVAL_US = InFlightHistory.STEP_US;
    /** Assumed running time of a class before its first request finishes, as a multiple of its latency objective. */
    private static final double EXPECTED_RUN_TIME_MULTIPLE = 4;

    static final long EXAMINATION_TIMER = 1;
    static final long WATCH_TIMER = 2;
    static final long QUEUE_TIMER = 3;

    private final LoadBalancerSettings settings;
    private final Helper helper;
    private final HealthView healthView;
    private final Map<String, RequestClassStats> classes = new HashMap<>();
    /** The same classes, ordered by {@link RequestClassStats#compareByValue}. */
    private final List<RequestClassStats> classesByValue = new ArrayList<>();

    private final EndpointStats stats = new EndpointStats();
    private final ShareController shareController = new ShareController();
    private final EndpointTable endpoints;
    private final TenantQueues queues;
    private final QuotaEstimator quotaEstimator;
    private final AdmissionControl admissionControl;
    private final RetryAfterEstimator retryAfterEstimator;
    private final RequestLifecycle lifecycle;
    private final SlowStart slowStart;
    private final WorkingSet workingSet;
    private final CapacityEstimator capacityEstimator;
    private final OutlierDetector outlierDetector;
    private final AttemptObserver attemptObserver;
    private final IdleConnectionPolicy idleConnections;
    private final ListWatchRetry listWatchRetry;
    private final LoadProber loadProber;
    private final QueueDispatcher dispatcher;

    private long nextIntervalAtUs;

    /** Creates a load balancer without a {@link HealthView}; {@code seed} feeds its only source of randomness. */
    public ShareLoadBalancer(LoadBalancerSettings settings, long seed, Helper helper) {
        this(settings, seed, helper, HealthView.NONE);
    }

    /** Creates a load balancer with a {@link HealthView} of the node's connections. */
    public ShareLoadBalancer(LoadBalancerSettings settings, long seed, Helper helper, HealthView healthView) {
        if (settings == null || helper == null) {
            throw new IllegalArgumentException((settings == null ? "settings" : "helper") + ": missing");
        }
        this.settings = settings;
        this.helper = helper;
        this.healthView = healthView;
        long queueCheckIntervalUs = addClasses();
        SplittableRandom random = new SplittableRandom(seed);
        endpoints = new EndpointTable(settings, healthView, random);
        queues = new TenantQueues(settings.tenants(), classesByValue.size(), shareController);
        quotaEstimator = new QuotaEstimator(settings, queues);
        admissionControl = new AdmissionControl(settings, queues, quotaEstimator, queueCheckIntervalUs);
        retryAfterEstimator = new RetryAfterEstimator(
                queues, queueCheckIntervalUs, settings.limits().maxRetryAfterUs());
        RetryPolicy retryPolicy = new RetryPolicy(settings, healthView, endpoints);
        lifecycle = new RequestLifecycle(
                settings,
                helper,
                stats,
                queues,
                quotaEstimator,
                retryAfterEstimator,
                retryPolicy,
                queueCheckIntervalUs);
        slowStart = new SlowStart(settings, classesByValue, random);
        workingSet = new WorkingSet(stats);
        capacityEstimator = new CapacityEstimator(settings, stats);
        outlierDetector = new OutlierDetector(settings, stats, random);
        attemptObserver = new AttemptObserver(stats, capacityEstimator, outlierDetector);
        idleConnections = new IdleConnectionPolicy(settings, queues, helper);
        listWatchRetry = new ListWatchRetry(settings.rules(), random, helper);
        WeightedEndpointPicker endpointPicker = new WeightedEndpointPicker(settings.costs(), stats, random);
        loadProber = new LoadProber(settings, endpoints, endpointPicker, helper);
        EndpointSelector selector = new EndpointSelector(
                settings,
                endpoints,
                stats,
                workingSet,
                capacityEstimator,
                slowStart,
                retryPolicy,
                loadProber,
                endpointPicker);
        dispatcher = new QueueDispatcher(
                queues, classesByValue, endpoints, selector, workingSet, retryAfterEstimator, lifecycle::send);
    }

    /**
     * Adds the request classes of the settings. Returns the interval between checks of queued requests, in
     * microseconds.
     */
    private long addClasses() {
        long checkIntervalUs = MAX_QUEUE_CHECK_INTERVAL_US;
        for (RequestClass requestClass : settings.classes()) {
            double expectedUs = EXPECTED_RUN_TIME_MULTIPLE * requestClass.latencyObjectiveUs();
            RequestClassStats classStats = new RequestClassStats(requestClass, classes.size(), expectedUs);
            classes.put(requestClass.name(), classStats);
            classesByValue.add(classStats);
            long objectiveCheckIntervalUs = requestClass.latencyObjectiveUs() / QUEUE_CHECKS_PER_OBJECTIVE;
            checkIntervalUs =
                    Math.max(MIN_QUEUE_CHECK_INTERVAL_US, Math.min(checkIntervalUs, objectiveCheckIntervalUs));
        }
        return checkIntervalUs;
    }

    /** Returns the endpoints known to the load balancer. */
    EndpointTable endpoints() {
        return endpoints;
    }

    @Override
    public void start(long nowUs) {
        nextIntervalAtUs = nowUs + ShareController.INTERVAL_US;
        for (TenantQueue tenant : queues.all()) {
            tenant.slotUsage.start(nowUs);
        }
        quotaEstimator.start(nowUs);
        helper.schedule(EXAMINATION_TIMER, EXAMINATION_INTERVAL_US);
        if (settings.pollsList()) {
            helper.watchEndpointList();
        }
    }

    @Override
    public void onListUpdate(long nowUs, ListUpdateKind updateKind, List<EndpointInfo> listed) {
        if (updateKind == ListUpdateKind.FAILED) {
            listWatchRetry.onFailed();
            return;
        }
        listWatchRetry.onListReceived(updateKind);
        endpoints.update(updateKind, listed);
        shareController.setEndpoints(endpoints.all());
        dispatchQueued(nowUs);
    }

    @Override
    public void onRequest(long nowUs, Request request) {
        RequestClassStats classStats = classes.get(request.requestClass());
        if (classStats == null) {
            helper.fail(request.id());
            return;
        }
        PendingRequest pending = new PendingRequest(nowUs, request, classStats, queues.tenantQueue(request.tenant()));
        lifecycle.requests().add(pending);
        classStats.onArrival(request, pending.slots);
        admissionControl.admit(nowUs, pending);
        loadProber.onRequest();
        if (nowUs >= pending.latestStartUs) { // too late, or the client may give up before the next check
            lifecycle.rejectOrFail(nowUs, pending);
        } else {
            lifecycle.enqueue(pending, false);
        }
        dispatchQueued(nowUs);
        if (nowUs >= pending.queueDeadlineUs && queues.remove(pending)) {
            lifecycle.rejectOrFail(nowUs, pending);
        }
    }

    @Override
    public void onAttemptEnd(
            long nowUs,
            String id,
            int attemptIndex,
            AttemptOutcome outcome,
            long durationUs,
            boolean complete,
            LoadReport loadReport) {
        Attempt attempt = lifecycle.requests().attemptInFlight(id, attemptIndex);
        if (attempt == null) {
            return;
        }
        lifecycle.onAttemptEnd(nowUs, attempt);
        attemptObserver.onEnd(nowUs, attempt, outcome, loadReport);
        lifecycle.continueAfterAttempt(nowUs, attempt, outcome, complete);
        dispatchQueued(nowUs);
    }

    @Override
    public void onAttemptSignal(long nowUs, String id, int attemptIndex, AttemptSignal signal, double progress) {
        Attempt attempt = lifecycle.requests().attemptInFlight(id, attemptIndex);
        if (attempt != null && signal == AttemptSignal.STARTED && !attempt.started()) {
            lifecycle.onAttemptStarted(nowUs, attempt);
            attemptObserver.onStarted(nowUs, attempt);
            dispatchQueued(nowUs);
        }
    }

    @Override
    public void onProbeResult(
            long nowUs, String endpointName, boolean succeeded, long durationUs, LoadReport loadReport) {
        Endpoint endpoint = endpoints.get(endpointName);
        if (endpoint != null && succeeded) {
            capacityEstimator.onReport(nowUs, endpoint, loadReport);
            dispatchQueued(nowUs);
        }
    }

    @Override
    public void onClientDisconnected(long nowUs, String id) {
        PendingRequest request = lifecycle.requests().get(id);
        if (request != null) {
            lifecycle.onClientDisconnected(request);
        }
    }

    @Override
    public void onTimer(long nowUs, long timerId) {
        if (timerId == WATCH_TIMER) {
            listWatchRetry.onTimer();
        } else if (timerId == EXAMINATION_TIMER) {
            helper.schedule(EXAMINATION_TIMER, EXAMINATION_INTERVAL_US);
            if (nowUs >= nextIntervalAtUs) {
                onInterval(nowUs);
            }
            examineEndpoints(nowUs);
        } else if (timerId == QUEUE_TIMER) {
            lifecycle.rejectOrFailQueuedIf(nowUs, request -> nowUs >= request.queueDeadlineUs);
            dispatchQueued(nowUs);
            lifecycle.rescheduleQueueTimer();
        }
    }

    @Override
    public long retryAfterUs(long nowUs) {
        return retryAfterEstimator.forNewRequest();
    }

    private void onInterval(long nowUs) {
        for (TenantQueue tenant : queues.all()) {
            tenant.slotUsage.add(nowUs, 0);
        }
        shareController.onInterval();
        stats.sampleAttemptsInFlight();
        slowStart.onInterval(nowUs, endpoints.all(), stats.meanAttemptsInFlight(), stats.meanFreeSlots);
        workingSet.onInterval();
        nextIntervalAtUs = nowUs + ShareController.INTERVAL_US;
    }

    private void examineEndpoints(long nowUs) {
        quotaEstimator.adjustToTrafficShift(nowUs);
        classesByValue.sort(RequestClassStats::compareByValue);
        idleConnections.closeIdle(nowUs, endpoints.all());
        capacityEstimator.updateMeanFreeSlots(nowUs, endpoints.all());
        outlierDetector.update(nowUs, endpoints.all());
    }

    /**
     * Sends queued requests while there is capacity. While the endpoint list is out of date nothing is sent. Requests
     * first stay queued, because the list may be renewed at any time; after
     * {@link AdmissionControl#STALE_LIST_GRACE_US} they are rejected, so that their clients can try other nodes in
     * time. Requests that have had an attempt stay queued, because many of them may no longer be rejected.
     */
    private void dispatchQueued(long nowUs) {
        long staleForUs = healthView.listStaleForUs(nowUs);
        if (staleForUs == 0) {
            dispatcher.dispatch(nowUs);
        } else if (staleForUs > AdmissionControl.STALE_LIST_GRACE_US) {
            lifecycle.rejectOrFailQueuedIf(nowUs, request -> request.attempts.isEmpty());
        }
    }
}
