package olivechute.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import olivechute.endpointlist.EndpointListLease;
import olivechute.health.ConnectionHealth;
import olivechute.health.HealthSettings;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.loadbalancing.ListUpdateKind;
import olivechute.loadbalancing.LoadBalancer;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.LoadReport;
import olivechute.loadbalancing.Request;
import olivechute.loadbalancing.ShareLoadBalancer;
import olivechute.loadbalancing.Tenant;
import olivechute.log.RequestLogFields;
import olivechute.memory.FailureLog;
import org.tinylog.Logger;

/**
 * Opens requests, has the load balancer assign them to endpoints, and enforces the invariants that hold for every
 * client protocol: one final answer per request, at most one attempt in flight, and no attempt after the answer or the
 * deadline. Constructed with the node; all of it runs on the event loop, and times are microseconds on its clock.
 */
@SuppressWarnings("ReferenceEquality") // attempts are compared by identity: two with equal fields are still distinct
public final class RequestDispatcher implements LoadBalancer.Helper, Consumer<ProxyEvent> {
    private final EventLoop loop;
    private final LoadBalancerSettings settings;
    private final UpstreamTransport transport;
    private final EndpointListSource listSource;
    private final RequestAccounting requestAccounting;
    private final ConnectionHealth health;
    private final EndpointListState endpointList;
    /** Held in a field so that each request does not allocate its own method reference. */
    private final LongPredicate listIsCurrent;

    private final LoadBalancer loadBalancer;
    private final AttemptTracker attemptTracker;
    private final JobStatusHandler jobStatusHandler;
    private final BodyMemoryBudget bodyMemory;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, ActiveRequest> requestsById = new HashMap<>();
    private final RecentRequestIds recentRequestIds = new RecentRequestIds();
    private int maxOpenRequests;
    /** Upper limit of each request's deadline, see {@link #answerAllBy}. */
    private long answerAllByUs = Long.MAX_VALUE;

    private final RequestLog requestLog = new RequestLog();

    /** Creates a dispatcher without metrics whose endpoint list never expires. */
    public RequestDispatcher(
            EventLoop loop,
            LoadBalancerSettings settings,
            long seed,
            UpstreamTransport transport,
            EndpointListSource listSource,
            int maxOpenRequests,
            long maxBodyBytes) {
        this(
                loop,
                settings,
                seed,
                transport,
                listSource,
                maxOpenRequests,
                maxBodyBytes,
                RequestMetrics.NONE,
                EndpointListLease.nonExpiring());
    }

    /**
     * Creates a dispatcher.
     *
     * @param seed seeds the random numbers of the load balancer and the connection health
     * @param maxOpenRequests maximum number of requests open at once
     * @param maxBodyBytes maximum total size of the bodies of open requests, in bytes
     * @param lease requests are sent only while it holds; each list that is applied renews it
     */
    public RequestDispatcher(
            EventLoop loop,
            LoadBalancerSettings settings,
            long seed,
            UpstreamTransport transport,
            EndpointListSource listSource,
            int maxOpenRequests,
            long maxBodyBytes,
            RequestMetrics metrics,
            EndpointListLease lease) {
        this.loop = loop;
        this.settings = settings;
        this.transport = transport;
        this.listSource = listSource;
        this.maxOpenRequests = maxOpenRequests;
        this.bodyMemory = new BodyMemoryBudget(maxBodyBytes);
        this.requestAccounting = new RequestAccounting(loop, settings, metrics);
        settings.classes().forEach(c -> classIndexes.put(c.name(), classIndexes.size()));
        this.health = new ConnectionHealth(
                HealthSettings.DEFAULT,
                classIndexes.size(),
                settings.tenants().stream().map(Tenant::name).toList(),
                new SplittableRandom(~seed)::nextDouble,
                lease);
        this.endpointList = new EndpointListState(lease, health, transport);
        this.listIsCurrent = endpointList::isCurrent;
        this.loadBalancer = new ShareLoadBalancer(settings, seed, this, health);
        this.attemptTracker = new AttemptTracker(loop, transport, health, loadBalancer);
        this.jobStatusHandler = new JobStatusHandler(transport, attemptTracker, this::sendResult, this::endAttempt);
    }

    /**
     * Sets the maximum number of open requests from now on; requests that are already open continue. Call on the event
     * loop.
     */
    public void limitOpenRequests(int limit) {
        maxOpenRequests = limit;
    }

    /**
     * Ensures that all requests, current and future, are answered by {@code timeUs} at the latest. Call on the event
     * loop.
     */
    public void answerAllBy(long timeUs) {
        answerAllByUs = timeUs;
        for (ActiveRequest request : requestsById.values()) {
            if (!request.answered && request.giveUpAtUs > timeUs) {
                request.giveUpAtUs = timeUs;
                request.deadlineTimer.cancel();
                scheduleDeadline(request);
            }
        }
    }

    private void scheduleDeadline(ActiveRequest request) {
        request.deadlineTimer =
                loop.scheduleTimer(request.giveUpAtUs - ActiveRequest.DEADLINE_MARGIN_US, () -> onDeadline(request));
    }

    /** Disables request logging: the requests that follow are synthetic ones that warm up the code. */
    public void disableRequestLog() {
        requestLog.disable();
    }

    /** Starts the load balancer with the last known endpoint list. Call on the event loop. */
    public void start(EndpointListUpdate lastKnownList) {
        loadBalancer.start(loop.now());
        onListUpdate(ListUpdateKind.RESTORED, lastKnownList, ProxyEvent.ListUpdated.PARTIAL);
    }

    @Override
    public void accept(ProxyEvent event) {
        if (event instanceof ProxyEvent.RequestArrived e) {
            openOrFail(e);
        } else if (event instanceof ProxyEvent.ClientDisconnected e) {
            onClientDisconnected(e);
        } else if (event instanceof ProxyEvent.JobStatusReceived e) {
            onJobStatus(e);
        } else if (event instanceof ProxyEvent.AttemptAccepted e) {
            ActiveRequest request = requestsById.get(e.requestId());
            if (request != null && request.isInFlight(e.attemptNumber())) {
                attemptTracker.onAccepted(request);
            }
        } else if (event instanceof ProxyEvent.AttemptEnded e) {
            ActiveRequest request = requestsById.get(e.requestId());
            if (request != null && request.isInFlight(e.attemptNumber())) {
                endAttempt(request, jobStatusHandler.outcomeOf(request, e.outcome()), e.loadReport());
            }
        } else if (event instanceof ProxyEvent.ListUpdated e) {
            ListUpdateKind kind = e.update().complete() ? ListUpdateKind.FULL : ListUpdateKind.DELTA;
            onListUpdate(kind, e.update(), e.completeAsOfUs());
        } else if (event instanceof ProxyEvent.ListWatchFailed) {
            loadBalancer.onListUpdate(loop.now(), ListUpdateKind.FAILED, List.of());
        }
    }

    /**
     * Logs the state of each endpoint and the reason for it, one line per endpoint, and then the open requests and the
     * retries left. Call on the event loop.
     */
    public void logStatus() {
        health.describeForLog(
                loop.now(),
                (endpoint, text) -> Logger.info("endpoint {}: {}, {}", endpoint, endpointList.stateOf(endpoint), text));
        Logger.info(
                "open requests {} of {}, {}", requestsById.size(), maxOpenRequests, health.describeForLog(loop.now()));
    }

    /** Opens a request. If that fails, it is answered all the same, and nothing of it is kept. */
    private void openOrFail(ProxyEvent.RequestArrived arrival) {
        try {
            openRequest(arrival);
        } catch (RuntimeException | Error e) {
            FailureLog.log(e, "opening a request failed");
            ActiveRequest request = requestsById.get(arrival.request().id());
            if (request == null || request.arrival != arrival) {
                arrival.memory().release();
                arrival.client().sendFailure();
            } else {
                fail(request.id);
            }
        }
    }

    private void openRequest(ProxyEvent.RequestArrived arrival) {
        Request received = arrival.request();
        String id = received.id();
        long nowUs = loop.now();
        if (requestsById.containsKey(id) || recentRequestIds.contains(id, nowUs)) {
            // Two requests with the same id would share their attempts and answers, and late status events of the first
            // may still arrive.
            arrival.memory().release();
            arrival.client().sendDuplicateId();
            return;
        }
        int classIndex = classIndexes.getOrDefault(received.requestClass(), 0);
        requestAccounting.onReceived(classIndex);
        if (requestsById.size() >= maxOpenRequests
                || !bodyMemory.tryReserve(arrival.payload().length())) {
            requestAccounting.onRejectedAtLimit(classIndex);
            requestLog.onRejectedAtLimit(id, requestsById.size());
            arrival.memory().release();
            arrival.client().sendRejection(loadBalancer.retryAfterUs(nowUs));
            return;
        }
        long giveUpAtUs = Math.min(arrival.receivedAtUs() + received.timeLeftUs(), answerAllByUs);
        try {
            ActiveRequest request = new ActiveRequest(arrival, settings, classIndex, nowUs, giveUpAtUs, listIsCurrent);
            scheduleDeadline(request);
            requestsById.put(id, request);
        } catch (OutOfMemoryError e) {
            bodyMemory.release(arrival.payload().length());
            throw e;
        }
        loadBalancer.onRequest(nowUs, received.withTimeLeft(Math.max(0, giveUpAtUs - nowUs)));
    }

    private void onClientDisconnected(ProxyEvent.ClientDisconnected event) {
        ActiveRequest request = requestsById.get(event.requestId());
        if (request != null && request.arrival.client() == event.client()) {
            endRequestOfDisconnectedClient(request);
        }
    }

    /** Ends a request whose client has disconnected; an attempt that is in flight and not yet written is suppressed. */
    private void endRequestOfDisconnectedClient(ActiveRequest request) {
        if (!request.answered) {
            request.answered = true;
            requestAccounting.onClientDisconnected(request);
            loadBalancer.onClientDisconnected(loop.now(), request.id);
            if (request.inFlightAttempt != null) {
                transport.suppressIfUnwritten(request.inFlightAttempt);
            }
            removeIfDone(request);
        }
    }

    /** Ends the request if its client has disconnected, as the corresponding event may not have arrived yet. */
    private void endIfClientDisconnected(ActiveRequest request) {
        if (!request.arrival.client().isPresent()) {
            endRequestOfDisconnectedClient(request);
        }
    }

    private void onDeadline(ActiveRequest request) {
        if (request.inFlightAttempt != null) {
            timeOutAttempt(request);
        }
        if (!request.answered) {
            // The load balancer should have answered queued requests before the deadline; this is the safeguard if it
            // did not.
            RequestLogFields.logUnanswered(request.id);
            fail(request.id);
        }
    }

    /**
     * Ends an attempt that takes too long. If nothing of it was written, for example because the connect is slow, it
     * never ran and counts as suppressed.
     */
    private void timeOutAttempt(ActiveRequest request) {
        boolean suppressed = transport.cancelWithoutReport(request.inFlightAttempt, request.attemptAccepted);
        endAttempt(request, suppressed ? AttemptOutcome.SUPPRESSED : AttemptOutcome.TIMEOUT, LoadReport.NONE);
    }

    private void onJobStatus(ProxyEvent.JobStatusReceived event) {
        try {
            ActiveRequest request = requestsById.get(event.requestId());
            if (request != null && request.inFlightAttempt != null) {
                jobStatusHandler.onStatus(request, event);
            }
        } finally {
            event.memory().release();
        }
    }

    private void sendResult(ActiveRequest request, byte[] result) {
        if (!request.answered) {
            request.answered = true;
            requestAccounting.onServed(request);
            request.arrival.client().sendResult(result);
        }
    }

    private void endAttempt(ActiveRequest request, AttemptOutcome outcome, LoadReport loadReport) {
        long nowUs = loop.now();
        UpstreamRequest attempt = attemptTracker.onEnd(request, outcome, nowUs);
        requestLog.onAttemptEnd(request, attempt, outcome, nowUs);
        if (outcome == AttemptOutcome.SUPPRESSED) {
            request.suppressedAttempts++;
            endIfClientDisconnected(request);
        } else if (!request.answered) {
            request.onAttemptEnded(attempt.endpoint(), outcome);
        }
        attemptTracker.reportEndToHealth(request, attempt, outcome, nowUs);
        loadBalancer.onAttemptEnd(
                nowUs,
                request.id,
                attempt.attemptNumber(),
                outcome,
                nowUs - request.sentAtUs,
                request.answered,
                loadReport);
        removeIfDone(request);
    }

    /** Removes a request once it is answered and has no attempt in flight. */
    private void removeIfDone(ActiveRequest request) {
        if (request.answered && request.inFlightAttempt == null && requestsById.remove(request.id, request)) {
            request.deadlineTimer.cancel();
            bodyMemory.release(request.arrival.payload().length());
            request.arrival.memory().release();
            if (request.attemptCount > request.suppressedAttempts) {
                recentRequestIds.add(request.id, loop.now());
            }
        }
    }

    private void onListUpdate(ListUpdateKind kind, EndpointListUpdate update, long asOfUs) {
        List<EndpointInfo> endpoints = endpointList.update(update, asOfUs, !requestLog.isDisabled());
        loadBalancer.onListUpdate(loop.now(), kind, endpoints);
    }

    @Override
    public void reject(String id, long retryAfterUs) {
        sendFinalAnswer(id, request -> {
            requestAccounting.onRejected(request);
            request.arrival.client().sendRejection(retryAfterUs);
            requestLog.onRejected(request, loop.now());
        });
    }

    @Override
    public void fail(String id) {
        sendFinalAnswer(id, request -> {
            requestAccounting.onFailed(request);
            request.arrival.client().sendFailure();
        });
    }

    private void sendFinalAnswer(String id, Consumer<ActiveRequest> sendAnswer) {
        ActiveRequest request = requestsById.get(id);
        if (request != null && !request.answered) {
            request.answered = true;
            requestAccounting.onAnswer(request);
            sendAnswer.accept(request);
            removeIfDone(request);
        }
    }

    // Operations requested by the load balancer.

    @Override
    public void send(String id, String endpoint, long timeoutUs) {
        ActiveRequest request = requestsById.get(id);
        if (request != null) {
            sendAttempt(request, endpoint, timeoutUs);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        ActiveRequest request = requestsById.get(id);
        if (request != null && request.isInFlight(attempt)) {
            transport.cancelWithoutReport(request.inFlightAttempt, request.attemptAccepted);
            loop.post(new ProxyEvent.AttemptEnded(id, attempt, AttemptOutcome.CANCELLED, LoadReport.NONE));
        }
    }

    @Override
    public void probe(String endpoint) {
        Logger.warn("probe of endpoint {} ignored: nodes may not probe endpoints", endpoint);
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        transport.closeIdleConnections(endpoint);
    }

    @Override
    public void watchEndpointList() {
        listSource.watch();
    }

    @Override
    public void schedule(long timerId, long delayUs) {
        long dueUs = loop.now() + delayUs;
        loop.scheduleTimer(dueUs, () -> {
            if (!requestLog.isDisabled()) {
                endpointList.logIfValidityChanged(loop.now(), requestsById.size());
            }
            loadBalancer.onTimer(loop.now(), timerId);
        });
    }

    /**
     * Sends an attempt unless a rule forbids it: the request must be unanswered, have attempts and time left and none
     * in flight, its client must be present, the endpoint must be neither draining nor removed, and the endpoint list
     * must be current. An attempt that fails a check ends as NOT_SENT.
     */
    private void sendAttempt(ActiveRequest request, String endpoint, long timeoutUs) {
        int attemptNumber = request.attemptCount++;
        long nowUs = loop.now();
        boolean allowed = !request.answered
                && (request.inFlightAttempt == null || settings.limits().hedgingAllowed())
                && attemptNumber - request.suppressedAttempts
                        < settings.limits().maxAttempts();
        boolean sendable = allowed && maySend(request, endpoint, nowUs);
        requestAccounting.onAttemptRequested(request, allowed, sendable, nowUs);
        if (!sendable) {
            loop.post(new ProxyEvent.Task(() -> endUnsentAttempt(request, attemptNumber)));
            return;
        }
        long timeLeftUs = request.giveUpAtUs - ActiveRequest.DEADLINE_MARGIN_US - nowUs;
        UpstreamRequest attempt = request.newAttempt(attemptNumber, endpoint, timeLeftUs);
        boolean firstAttempt = request.sentAtUs == 0;
        attemptTracker.send(request, attempt, nowUs);
        if (firstAttempt) {
            requestAccounting.onFirstSend(request, nowUs);
        }
        if (timeoutUs > 0 && timeoutUs < timeLeftUs) {
            loop.scheduleTimer(nowUs + timeoutUs, () -> {
                if (request.inFlightAttempt == attempt) {
                    timeOutAttempt(request);
                }
            });
        }
    }

    private boolean maySend(ActiveRequest request, String endpoint, long nowUs) {
        return request.inFlightAttempt == null
                && transport.acceptsRequests(endpoint)
                && request.maySendAttempt(nowUs, 0);
    }

    private void endUnsentAttempt(ActiveRequest request, int attemptNumber) {
        endIfClientDisconnected(request);
        loadBalancer.onAttemptEnd(
                loop.now(), request.id, attemptNumber, AttemptOutcome.NOT_SENT, 0, request.answered, LoadReport.NONE);
    }
}
