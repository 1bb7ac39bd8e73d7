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
import org.tinylog.Logger;

/**
 * Runs requests through the load balancer and enforces what holds for every front: one final answer, one attempt at a
 * request at a time, none after the answer or past the deadline. All of it runs on the event loop.
 */
@SuppressWarnings("ReferenceEquality") // two attempts with equal fields are still two attempts
public final class RequestDispatcher implements LoadBalancer.Helper, Consumer<ProxyEvent> {
    private final EventLoop loop;
    private final LoadBalancerSettings settings;
    private final UpstreamTransport transport;
    private final EndpointListSource listSource;
    private final RequestAccounting accounting;
    private final ConnectionHealth health;
    private final EndpointListState endpointList;
    /** A field, so that requests do not allocate one each. */
    private final LongPredicate listIsCurrent;

    private final LoadBalancer loadBalancer;
    private final AttemptTracker attempts;
    private final JobStatusHandler jobStatus;
    private final BodyBytesBudget bodies;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, ActiveRequest> requests = new HashMap<>();
    private final RecentRequestIds recentIds = new RecentRequestIds();
    private int maxOpenRequests;
    private long answerAllByUs = Long.MAX_VALUE;
    private final RequestLog requestLog = new RequestLog();

    /** Counts nothing, and sends by its list however old that is. */
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
     * Makes a dispatcher.
     *
     * @param maxOpenRequests requests that may be open at once
     * @param maxBodyBytes bytes that the bodies of open requests may have in sum
     * @param lease nothing is sent while it does not hold; each list that is taken over renews it
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
        this.bodies = new BodyBytesBudget(maxBodyBytes);
        this.accounting = new RequestAccounting(loop, settings, metrics);
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
        this.attempts = new AttemptTracker(loop, transport, health, loadBalancer);
        this.jobStatus = new JobStatusHandler(transport, attempts, this::sendResult, this::endAttempt);
    }

    /** How many requests may be open from now on; those that are open stay. Runs on the loop. */
    public void limitOpenRequests(int limit) {
        maxOpenRequests = limit;
    }

    /** All requests, open or to come, are answered by this moment at the latest. Runs on the loop. */
    public void answerAllBy(long timeUs) {
        answerAllByUs = timeUs;
        for (ActiveRequest request : requests.values()) {
            if (!request.answered && request.giveUpAtUs > timeUs) {
                request.giveUpAtUs = timeUs;
                request.deadline.cancel();
                scheduleDeadline(request);
            }
        }
    }

    private void scheduleDeadline(ActiveRequest request) {
        request.deadline = loop.at(request.giveUpAtUs - ActiveRequest.DEADLINE_MARGIN_US, () -> onDeadline(request));
    }

    /** Logs no request from now on: they are made up to warm up the code. */
    public void disableRequestLog() {
        requestLog.disable();
    }

    /** Starts the load balancer with the endpoint list as this node last had it; runs on the loop. */
    public void start(EndpointListUpdate known) {
        loadBalancer.start(loop.now());
        updateList(ListUpdateKind.RESTORED, known, ProxyEvent.ListUpdated.PARTIAL);
    }

    @Override
    public void accept(ProxyEvent event) {
        if (event instanceof ProxyEvent.RequestArrived e) {
            open(e);
        } else if (event instanceof ProxyEvent.ClientGone e) {
            onClientGone(e);
        } else if (event instanceof ProxyEvent.JobStatusReceived e) {
            onJobStatus(e);
        } else if (event instanceof ProxyEvent.AttemptAccepted e) {
            ActiveRequest request = requests.get(e.requestId());
            if (request != null && request.isInFlight(e.attempt())) {
                attempts.onAccepted(request);
            }
        } else if (event instanceof ProxyEvent.AttemptEnded e) {
            ActiveRequest request = requests.get(e.requestId());
            if (request != null && request.isInFlight(e.attempt())) {
                endAttempt(request, e.outcome(), e.load());
            }
        } else if (event instanceof ProxyEvent.ListUpdated e) {
            ListUpdateKind kind = e.update().complete() ? ListUpdateKind.FULL : ListUpdateKind.DELTA;
            updateList(kind, e.update(), e.asOfUs());
        } else if (event instanceof ProxyEvent.ListFailed) {
            loadBalancer.onListUpdate(loop.now(), ListUpdateKind.FAILED, List.of());
        }
    }

    /** Logs what is believed of each endpoint and why, a line for each. Runs on the loop. */
    public void describe() {
        health.describe(
                loop.now(),
                (endpoint, text) -> Logger.info("endpoint {}: {}, {}", endpoint, endpointList.stateOf(endpoint), text));
        Logger.info("open requests {} of {}, {}", requests.size(), maxOpenRequests, health.describe(loop.now()));
    }

    private void open(ProxyEvent.RequestArrived arrival) {
        Request received = arrival.request();
        String id = received.id();
        long nowUs = loop.now();
        if (requests.containsKey(id) || recentIds.contains(id, nowUs)) {
            // Two requests of one id would share their attempts and answers; late status events of the first may still
            // come.
            arrival.client().sendDuplicateId();
            return;
        }
        int classIndex = classIndexes.getOrDefault(received.requestClass(), 0);
        accounting.onReceived(classIndex);
        if (requests.size() >= maxOpenRequests
                || !bodies.tryReserve(arrival.payload().length())) {
            accounting.onRejectedAtLimit(classIndex);
            requestLog.onRejectedAtLimit(id, requests.size());
            arrival.client().sendRejection(loadBalancer.retryAfterUs(nowUs));
            return;
        }
        long giveUpAtUs = Math.min(arrival.receivedAtUs() + received.timeLeftUs(), answerAllByUs);
        ActiveRequest request = new ActiveRequest(arrival, settings, classIndex, nowUs, giveUpAtUs, listIsCurrent);
        requests.put(id, request);
        scheduleDeadline(request);
        try {
            loadBalancer.onRequest(nowUs, received.withTimeLeft(Math.max(0, giveUpAtUs - nowUs)));
        } catch (RuntimeException e) {
            Logger.error(e, "the load balancer failed on a new request");
            fail(id);
        }
    }

    private void onClientGone(ProxyEvent.ClientGone e) {
        ActiveRequest request = requests.get(e.requestId());
        if (request != null && request.arrival.client() == e.client()) {
            endForGoneClient(request);
        }
    }

    /** The client has gone: what is in flight for it and not written yet goes nowhere any more. */
    private void endForGoneClient(ActiveRequest request) {
        if (!request.answered) {
            request.answered = true;
            accounting.onClientGone(request);
            loadBalancer.onClientGone(loop.now(), request.id);
            if (request.inFlight != null) {
                transport.suppress(request.inFlight);
            }
            removeIfDone(request);
        }
    }

    /** The event that says so may still be on its way. */
    private void endIfClientGone(ActiveRequest request) {
        if (!request.arrival.client().isPresent()) {
            endForGoneClient(request);
        }
    }

    private void onDeadline(ActiveRequest request) {
        if (request.inFlight != null) {
            timeOutAttempt(request);
        }
        if (!request.answered) {
            // The load balancer answers what it has queued in time; this guards the rule should it not.
            RequestLogFields.logUnanswered(request.id);
            fail(request.id);
        }
    }

    /** The attempt takes too long. If nothing of it was written, which may be a connect's fault, it never ran. */
    private void timeOutAttempt(ActiveRequest request) {
        boolean suppressed = transport.cancelWithoutEnd(request.inFlight, request.accepted);
        endAttempt(request, suppressed ? AttemptOutcome.SUPPRESSED : AttemptOutcome.TIMEOUT, LoadReport.NONE);
    }

    private void onJobStatus(ProxyEvent.JobStatusReceived e) {
        ActiveRequest request = requests.get(e.requestId());
        if (request != null && request.inFlight != null) {
            jobStatus.onStatus(request, e);
        }
    }

    private void sendResult(ActiveRequest request, byte[] result) {
        if (!request.answered) {
            request.answered = true;
            accounting.onServed(request);
            request.arrival.client().sendResult(result);
        }
    }

    private void endAttempt(ActiveRequest request, AttemptOutcome outcome, LoadReport load) {
        long nowUs = loop.now();
        UpstreamRequest attempt = attempts.onEnd(request, outcome, nowUs);
        requestLog.onAttemptEnd(request, attempt, outcome, nowUs);
        if (outcome == AttemptOutcome.SUPPRESSED) {
            request.suppressedAttempts++;
            endIfClientGone(request);
        } else if (outcome != AttemptOutcome.CONNECT_FAILED && !request.answered) {
            request.noteEndpointReached(attempt.endpoint(), outcome);
        }
        attempts.reportEnd(request, attempt, outcome, nowUs);
        loadBalancer.onAttemptEnd(
                nowUs, request.id, attempt.attempt(), outcome, nowUs - request.sentAtUs, request.answered, load);
        removeIfDone(request);
    }

    /** Forgets a request that is answered and has no attempt in flight. */
    private void removeIfDone(ActiveRequest request) {
        if (request.answered && request.inFlight == null && requests.remove(request.id, request)) {
            request.deadline.cancel();
            bodies.release(request.arrival.payload().length());
            if (request.attempts > request.suppressedAttempts) {
                recentIds.add(request.id, loop.now());
            }
        }
    }

    private void updateList(ListUpdateKind kind, EndpointListUpdate update, long asOfUs) {
        List<EndpointInfo> endpoints = endpointList.update(update, asOfUs, !requestLog.isDisabled());
        loadBalancer.onListUpdate(loop.now(), kind, endpoints);
    }

    @Override
    public void reject(String id, long retryAfterUs) {
        answer(id, request -> {
            accounting.onRejected(request);
            request.arrival.client().sendRejection(retryAfterUs);
            requestLog.onRejected(request, loop.now());
        });
    }

    @Override
    public void fail(String id) {
        answer(id, request -> {
            accounting.onFailed(request);
            request.arrival.client().sendFailure();
        });
    }

    private void answer(String id, Consumer<ActiveRequest> reply) {
        ActiveRequest request = requests.get(id);
        if (request != null && !request.answered) {
            request.answered = true;
            accounting.onAnswer(request);
            reply.accept(request);
            removeIfDone(request);
        }
    }

    // What the load balancer asks for.

    @Override
    public void send(String id, String endpoint, long timeoutUs) {
        ActiveRequest request = requests.get(id);
        if (request != null) {
            sendAttempt(request, endpoint, timeoutUs);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        ActiveRequest request = requests.get(id);
        if (request != null && request.isInFlight(attempt)) {
            transport.cancelWithoutEnd(request.inFlight, request.accepted);
            loop.post(new ProxyEvent.AttemptEnded(id, attempt, AttemptOutcome.CANCELLED, LoadReport.NONE));
        }
    }

    @Override
    public void probe(String endpoint) {
        Logger.warn("no probe of {}: nodes may not probe endpoints", endpoint);
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
        loop.at(dueUs, () -> {
            if (!requestLog.isDisabled()) {
                endpointList.logChange(loop.now(), requests.size());
            }
            loadBalancer.onTimer(loop.now(), timerId);
        });
    }

    /**
     * Sends an attempt unless a rule forbids it: the request must be unanswered, have attempts and time left and none
     * in flight, its client present, the endpoint neither draining nor removed, and the endpoint list current. What
     * fails a check ends as not sent.
     */
    private void sendAttempt(ActiveRequest request, String endpoint, long timeoutUs) {
        int number = request.attempts++;
        long nowUs = loop.now();
        boolean allowed = !request.answered
                && (request.inFlight == null || settings.limits().hedgingAllowed())
                && number - request.suppressedAttempts < settings.limits().maxAttempts();
        boolean sendable = allowed && maySend(request, endpoint, nowUs);
        accounting.onAttemptWanted(request, allowed, sendable, nowUs);
        if (!sendable) {
            loop.post(new ProxyEvent.Task(() -> endUnsentAttempt(request, number)));
            return;
        }
        long timeLeftUs = request.giveUpAtUs - ActiveRequest.DEADLINE_MARGIN_US - nowUs;
        UpstreamRequest attempt = request.newAttempt(number, endpoint, timeLeftUs);
        boolean first = request.sentAtUs == 0;
        attempts.send(request, attempt, nowUs);
        if (first) {
            accounting.onFirstSend(request, nowUs);
        }
        if (timeoutUs > 0 && timeoutUs < timeLeftUs) {
            loop.at(nowUs + timeoutUs, () -> {
                if (request.inFlight == attempt) {
                    timeOutAttempt(request);
                }
            });
        }
    }

    private boolean maySend(ActiveRequest request, String endpoint, long nowUs) {
        return request.inFlight == null && transport.acceptsRequests(endpoint) && request.mayBeginAny(nowUs, 0);
    }

    private void endUnsentAttempt(ActiveRequest request, int number) {
        endIfClientGone(request);
        loadBalancer.onAttemptEnd(
                loop.now(), request.id, number, AttemptOutcome.NOT_SENT, 0, request.answered, LoadReport.NONE);
    }
}
