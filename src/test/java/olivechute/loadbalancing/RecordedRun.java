package olivechute.loadbalancing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A seeded run of a single node against simulated endpoints in virtual time. Every action of the load balancer is
 * written in the simulator's wire form and hashed, so two builds make the same decisions exactly if their digests are
 * equal. Times are microseconds.
 */
final class RecordedRun implements LoadBalancer.Helper {
    private static final long MILLISECOND = 1000;
    private static final long SECOND = 1_000_000;
    private static final long RUN_LENGTH_US = 40 * SECOND;
    private static final int MAX_ZONES = 3;

    /** The parameters of a run. */
    record Plan(
            String name,
            long seed,
            LoadBalancerSettings settings,
            int endpoints,
            double requestsPerSecond,
            boolean socketFaults) {}

    private record Event(long atUs, long sequence, Runnable action) {}

    /** A simulated endpoint with a few slots and a bounded queue. */
    private final class SimulatedEndpoint {
        final String name;
        final String zone;
        final String kind;
        final int cell;
        final int slots;
        final double speed;
        long startedAtUs;
        EndpointState state = EndpointState.ACTIVE;
        boolean down;
        boolean unresponsive;
        double errorRate;
        final Deque<SentAttempt> queue = new ArrayDeque<>();
        int running;

        SimulatedEndpoint(int index, int zones, long startedAtUs) {
            this.name = "w" + index;
            this.zone = "z" + index % zones;
            this.kind = index % 2 == 0 ? "large" : "small";
            this.cell = index / 4;
            this.slots = index % 2 == 0 ? 4 : 2;
            this.speed = 0.7 + 0.6 * random.nextDouble();
            this.startedAtUs = startedAtUs;
        }

        EndpointInfo info() {
            return new EndpointInfo(name, zone, kind, cell, state, 1, startedAtUs);
        }

        LoadReport loadReport() {
            return plan.settings().loadReporting() == LoadReporting.NONE
                    ? LoadReport.NONE
                    : new LoadReport(
                            Math.max(0, slots - running - queue.size()),
                            random.nextInt(3) == 0 ? 8 - running : Double.NaN,
                            (double) running / slots,
                            100);
        }
    }

    /** An attempt in transit or at an endpoint. */
    private final class SentAttempt {
        final ClientRequest clientRequest;
        final int number;
        final SimulatedEndpoint endpoint;
        final long sentAtUs = nowUs;
        boolean ended;

        SentAttempt(ClientRequest clientRequest, int number, SimulatedEndpoint endpoint) {
            this.clientRequest = clientRequest;
            this.number = number;
            this.endpoint = endpoint;
        }

        void end(AttemptOutcome outcome, LoadReport load) {
            if (ended) {
                return;
            }
            ended = true;
            clientRequest.served |= outcome == AttemptOutcome.OK;
            loadBalancer.onAttemptEnd(
                    nowUs,
                    clientRequest.request.id(),
                    number,
                    outcome,
                    nowUs - sentAtUs,
                    clientRequest.served || clientRequest.disconnected,
                    load);
        }
    }

    private static final class ClientRequest {
        final Request request;
        final List<SentAttempt> attempts = new ArrayList<>();
        boolean served;
        boolean disconnected;

        ClientRequest(Request request) {
            this.request = request;
        }
    }

    private final Plan plan;
    private final SplittableRandom random;
    private final MessageDigest digest;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (x, y) -> x.atUs != y.atUs ? Long.compare(x.atUs, y.atUs) : Long.compare(x.sequence, y.sequence));
    private final Map<String, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, ClientRequest> clientRequests = new LinkedHashMap<>();
    private final ShareLoadBalancer loadBalancer;
    private long nowUs = 100 * SECOND;
    private long nextSequence;
    private int actionCount;
    private int arrivalCount;
    private boolean discoveryDown;

    private RecordedRun(Plan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
        this.loadBalancer = new ShareLoadBalancer(
                plan.settings(), plan.seed(), this, plan.socketFaults() ? new CyclingHealthView() : HealthView.NONE);
    }

    /** Executes a run; returns its name, the number of its actions and their digest. */
    static String execute(Plan plan) {
        RecordedRun recordedRun = new RecordedRun(plan);
        recordedRun.processEvents();
        return plan.name() + " " + recordedRun.actionCount + " "
                + HexFormat.of().formatHex(recordedRun.digest.digest()).substring(0, 32);
    }

    private void processEvents() {
        loadBalancer.start(nowUs);
        for (int i = 0; i < plan.endpoints(); i++) {
            SimulatedEndpoint endpoint = new SimulatedEndpoint(i, MAX_ZONES, 0);
            endpoints.put(endpoint.name, endpoint);
        }
        loadBalancer.onListUpdate(nowUs, ListUpdateKind.RESTORED, endpointInfos());
        long endUs = nowUs + RUN_LENGTH_US;
        runAt(nowUs + 5 * MILLISECOND, () -> updateList(ListUpdateKind.FULL));
        runAt(nowUs + SECOND, this::submitNextRequest);
        for (int i = 0; i < 12; i++) {
            runAt(nowUs + 3 * SECOND + random.nextLong(RUN_LENGTH_US - 6 * SECOND), this::injectFault);
        }
        while (!events.isEmpty() && events.peek().atUs <= endUs) {
            Event event = events.poll();
            nowUs = event.atUs;
            event.action.run();
        }
    }

    private void runAt(long atUs, Runnable action) {
        events.add(new Event(atUs, nextSequence++, action));
    }

    private List<EndpointInfo> endpointInfos() {
        return endpoints.values().stream().map(SimulatedEndpoint::info).toList();
    }

    private void updateList(ListUpdateKind kind) {
        loadBalancer.onListUpdate(
                nowUs, discoveryDown ? ListUpdateKind.FAILED : kind, discoveryDown ? List.of() : endpointInfos());
    }

    private void submitNextRequest() {
        List<RequestClass> classes = plan.settings().classes();
        RequestClass requestClass = classes.get(random.nextInt(classes.size()));
        List<Tenant> tenants = plan.settings().tenants();
        String tenant = tenants.isEmpty() || random.nextInt(40) == 0
                ? null
                : tenants.get(random.nextInt(tenants.size())).name();
        Request request = new Request(
                "r" + arrivalCount++,
                requestClass.name(),
                tenant,
                "k",
                requestClass.deadlineUs(),
                random.nextInt(4) == 0 ? 0.5 * requestClass.latencyObjectiveUs() : Double.NaN,
                1 + (random.nextInt(10) == 0 ? 1 : 0),
                random.nextInt(5) == 0 ? 1 : Double.NaN,
                false);
        submit(request);
        double burstFactor = nowUs % (15 * SECOND) < 3 * SECOND ? 2 : 1;
        double gapUs = -Math.log(1 - random.nextDouble()) * SECOND / (plan.requestsPerSecond() * burstFactor);
        runAt(nowUs + Math.max(1, (long) gapUs), this::submitNextRequest);
    }

    private void submit(Request request) {
        ClientRequest clientRequest = new ClientRequest(request);
        clientRequests.put(request.id(), clientRequest);
        long deadlineUs = nowUs + request.timeLeftUs();
        runAt(
                deadlineUs,
                () -> clientRequest.attempts.forEach(attempt -> attempt.end(AttemptOutcome.TIMEOUT, LoadReport.NONE)));
        if (random.nextInt(50) == 0) {
            runAt(nowUs + random.nextLong(request.timeLeftUs()), () -> {
                clientRequest.disconnected = true;
                loadBalancer.onClientDisconnected(nowUs, request.id());
                clientRequest.attempts.forEach(attempt -> attempt.end(AttemptOutcome.CANCELLED, LoadReport.NONE));
            });
        }
        loadBalancer.onRequest(nowUs, request);
    }

    /** Injects one random fault or change of the endpoint list. */
    private void injectFault() {
        List<SimulatedEndpoint> all = new ArrayList<>(endpoints.values());
        SimulatedEndpoint endpoint = all.get(random.nextInt(all.size()));
        switch (random.nextInt(7)) {
            case 0 -> {
                endpoint.down = true;
                endpoint.queue.clear();
                runAt(nowUs + 2 * SECOND + random.nextLong(4 * SECOND), () -> {
                    endpoint.down = false;
                    endpoint.running = 0;
                    endpoint.startedAtUs = nowUs;
                    updateList(ListUpdateKind.DELTA);
                });
            }
            case 1 -> {
                endpoint.state = EndpointState.DRAINING;
                updateList(ListUpdateKind.DELTA);
                runAt(nowUs + 2 * SECOND, () -> {
                    endpoint.state = EndpointState.REMOVED;
                    updateList(ListUpdateKind.DELTA);
                });
            }
            case 2 -> {
                SimulatedEndpoint added = new SimulatedEndpoint(endpoints.size(), MAX_ZONES, nowUs);
                endpoints.put(added.name, added);
                updateList(ListUpdateKind.DELTA);
            }
            case 3 -> {
                endpoint.unresponsive = true;
                runAt(nowUs + 4 * SECOND, () -> endpoint.unresponsive = false);
            }
            case 4 -> {
                endpoint.errorRate = 0.7;
                runAt(nowUs + 5 * SECOND, () -> endpoint.errorRate = 0);
            }
            case 5 -> {
                discoveryDown = true;
                loadBalancer.onListUpdate(nowUs, ListUpdateKind.FAILED, List.of());
                runAt(nowUs + 3 * SECOND, () -> {
                    discoveryDown = false;
                    updateList(ListUpdateKind.FULL);
                });
            }
            default -> {
                List<EndpointInfo> partial = endpointInfos().subList(0, endpoints.size() / 2);
                loadBalancer.onListUpdate(nowUs, ListUpdateKind.FULL, partial);
                runAt(nowUs + SECOND, () -> updateList(ListUpdateKind.FULL));
            }
        }
    }

    private void deliver(SentAttempt attempt) {
        SimulatedEndpoint endpoint = attempt.endpoint;
        if (attempt.ended) {
            return;
        }
        if (plan.socketFaults() && random.nextInt(60) == 0) {
            AttemptOutcome[] faults = {
                AttemptOutcome.STALE_CONNECTION,
                AttemptOutcome.ACCEPT_TIMEOUT,
                AttemptOutcome.CANCEL_UNCONFIRMED,
                AttemptOutcome.SUPPRESSED,
                AttemptOutcome.NOT_SENT
            };
            AttemptOutcome fault = faults[random.nextInt(faults.length)];
            runAt(nowUs + 20 * MILLISECOND, () -> attempt.end(fault, LoadReport.NONE));
        } else if (endpoint.down) {
            AttemptOutcome fault = random.nextInt(3) == 0 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
            runAt(nowUs + 100 * MILLISECOND, () -> attempt.end(fault, LoadReport.NONE));
        } else if (endpoint.unresponsive) {
            runAt(nowUs + 30 * SECOND, () -> attempt.end(AttemptOutcome.TIMEOUT, LoadReport.NONE));
        } else if (endpoint.queue.size() >= 3 * endpoint.slots) {
            attempt.end(AttemptOutcome.REJECTED, endpoint.loadReport());
        } else {
            endpoint.queue.add(attempt);
            startQueuedAttempts(endpoint);
        }
    }

    private void startQueuedAttempts(SimulatedEndpoint endpoint) {
        while (endpoint.running < endpoint.slots && !endpoint.queue.isEmpty()) {
            SentAttempt attempt = endpoint.queue.poll();
            if (attempt.ended) {
                continue;
            }
            endpoint.running++;
            long endpointStartedAtUs = endpoint.startedAtUs;
            if (plan.settings().notifiesStart() && random.nextInt(100) > 0) {
                loadBalancer.onAttemptSignal(
                        nowUs, attempt.clientRequest.request.id(), attempt.number, AttemptSignal.STARTED, 0);
            }
            double meanRunTimeUs = plan.settings().classes().get(0).latencyObjectiveUs() * 0.6 / endpoint.speed;
            long runTimeUs = Math.max(MILLISECOND, (long) (-Math.log(1 - random.nextDouble()) * meanRunTimeUs));
            runAt(nowUs + runTimeUs, () -> finish(endpoint, attempt, endpointStartedAtUs));
        }
    }

    private void finish(SimulatedEndpoint endpoint, SentAttempt attempt, long endpointStartedAtUs) {
        if (endpoint.startedAtUs != endpointStartedAtUs) {
            attempt.end(AttemptOutcome.RESET, LoadReport.NONE);
            return;
        }
        endpoint.running = Math.max(0, endpoint.running - 1);
        attempt.end(
                endpoint.down
                        ? AttemptOutcome.RESET
                        : random.nextDouble() < endpoint.errorRate + 0.002 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                endpoint.loadReport());
        startQueuedAttempts(endpoint);
    }

    private void recordAction(String action) {
        actionCount++;
        digest.update((nowUs + " " + action + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void send(String id, String endpoint, long timeoutUs) {
        recordAction("RELAY ref " + id + " executor " + endpoint + " limit " + timeoutUs);
        ClientRequest clientRequest = clientRequests.get(id);
        SentAttempt attempt = new SentAttempt(clientRequest, clientRequest.attempts.size(), endpoints.get(endpoint));
        clientRequest.attempts.add(attempt);
        runAt(nowUs + 300 + random.nextLong(MILLISECOND), () -> deliver(attempt));
    }

    @Override
    public void reject(String id, long retryAfterUs) {
        recordAction("OVERLOAD_REPLY ref " + id + " not_before_for " + retryAfterUs);
        Request request = clientRequests.get(id).request;
        long timeLeftUs = (long) (0.6 * request.timeLeftUs());
        if (random.nextInt(2) == 0 && timeLeftUs > 50 * MILLISECOND) {
            runAt(
                    nowUs + retryAfterUs,
                    () -> submit(new Request(
                            request.id() + "+",
                            request.requestClass(),
                            request.tenant(),
                            request.idempotencyKey(),
                            timeLeftUs,
                            request.expectedWorkUs(),
                            request.slots(),
                            request.memory(),
                            plan.settings().marksRetries())));
        }
    }

    @Override
    public void fail(String id) {
        recordAction("ABORT ref " + id);
    }

    @Override
    public void cancel(String id, int attempt) {
        recordAction("DROP_ATTEMPT ref " + id + " n " + attempt);
    }

    @Override
    public void probe(String endpointName) {
        recordAction("SAMPLE executor " + endpointName);
        SimulatedEndpoint endpoint = endpoints.get(endpointName);
        runAt(
                nowUs + 2 * MILLISECOND,
                () -> loadBalancer.onProbeResult(
                        nowUs,
                        endpointName,
                        !endpoint.down && !endpoint.unresponsive,
                        2 * MILLISECOND,
                        endpoint.loadReport()));
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        recordAction("DROP_CONNS executor " + endpoint);
    }

    @Override
    public void watchEndpointList() {
        recordAction("WATCH on true");
        runAt(nowUs + 40 * MILLISECOND, () -> updateList(ListUpdateKind.FULL));
    }

    @Override
    public void schedule(long timerId, long delayUs) {
        recordAction("TIMER mark " + timerId + " span " + delayUs);
        runAt(nowUs + delayUs, () -> loadBalancer.onTimer(nowUs, timerId));
    }

    /**
     * A health view like that of a node on sockets: in fixed cycles an endpoint is unhealthy, retries are not allowed,
     * and the list is out of date.
     */
    private final class CyclingHealthView implements HealthView {
        @Override
        public EndpointHealth endpoint(String endpoint) {
            int number = Integer.parseInt(endpoint.substring(1));
            return new EndpointHealth() {
                @Override
                public boolean admits(long at, int requestClass) {
                    return (at / SECOND + number + requestClass) % 9 != 0;
                }

                @Override
                public int concurrencyLimit() {
                    return 1 + (int) ((nowUs / SECOND + number) % 8);
                }
            };
        }

        @Override
        public boolean allowsRetry(long atUs, String tenant, int classIndex, AttemptOutcome last, long timeLeftUs) {
            return timeLeftUs > 100 * MILLISECOND && (atUs / SECOND + classIndex) % 5 != 0;
        }

        @Override
        public long listStaleForUs(long atUs) {
            long staleForUs = atUs % (17 * SECOND) - 12 * SECOND;
            return Math.max(0, staleForUs > 2 * SECOND ? 0 : staleForUs);
        }
    }
}
