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
 * One seeded day in virtual time: a single node's decisions in front of simulated endpoints. Every action of the load
 * balancer is written in the simulator's wire form and hashed, so that two builds decide alike exactly if their digests
 * are equal.
 */
final class RecordedDay implements LoadBalancer.Helper {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final long LENGTH = 40 * S;
    private static final int ZONES_MOST = 3;

    /** What distinguishes one day from another. */
    record Plan(
            String name,
            long seed,
            LoadBalancerSettings settings,
            int endpoints,
            double requestsPerSecond,
            boolean faultsOfSockets) {}

    private record Event(long at, long order, Runnable action) {}

    /** An endpoint with a few slots and a bounded queue. */
    private final class Endpoint {
        final String name;
        final String zone;
        final String kind;
        final int cell;
        final int slots;
        final double speed;
        long startedAt;
        EndpointState state = EndpointState.ACTIVE;
        boolean down;
        boolean silent;
        double errorRate;
        final Deque<Sent> queue = new ArrayDeque<>();
        int running;

        Endpoint(int index, int zones, long startedAt) {
            this.name = "w" + index;
            this.zone = "z" + index % zones;
            this.kind = index % 2 == 0 ? "large" : "small";
            this.cell = index / 4;
            this.slots = index % 2 == 0 ? 4 : 2;
            this.speed = 0.7 + 0.6 * random.nextDouble();
            this.startedAt = startedAt;
        }

        EndpointInfo entry() {
            return new EndpointInfo(name, zone, kind, cell, state, 1, startedAt);
        }

        LoadReport load() {
            return plan.settings().loadReporting() == LoadReporting.NONE
                    ? LoadReport.NONE
                    : new LoadReport(
                            Math.max(0, slots - running - queue.size()),
                            random.nextInt(3) == 0 ? 8 - running : Double.NaN,
                            (double) running / slots,
                            100);
        }
    }

    /** One attempt on its way or at an endpoint. */
    private final class Sent {
        final Client client;
        final int number;
        final Endpoint endpoint;
        final long sentAt = now;
        boolean ended;

        Sent(Client client, int number, Endpoint endpoint) {
            this.client = client;
            this.number = number;
            this.endpoint = endpoint;
        }

        void end(AttemptOutcome outcome, LoadReport load) {
            if (ended) {
                return;
            }
            ended = true;
            client.served |= outcome == AttemptOutcome.OK;
            module.onAttemptEnd(
                    now, client.request.id(), number, outcome, now - sentAt, client.served || client.gone, load);
        }
    }

    private static final class Client {
        final Request request;
        final List<Sent> attempts = new ArrayList<>();
        boolean served;
        boolean gone;

        Client(Request request) {
            this.request = request;
        }
    }

    private final Plan plan;
    private final SplittableRandom random;
    private final MessageDigest digest;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((x, y) -> x.at != y.at ? Long.compare(x.at, y.at) : Long.compare(x.order, y.order));
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Client> clients = new LinkedHashMap<>();
    private final ShareLoadBalancer module;
    private long now = 100 * S;
    private long order;
    private int actions;
    private int arrivals;
    private boolean discoveryDown;

    private RecordedDay(Plan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        try {
            this.digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
        this.module = new ShareLoadBalancer(
                plan.settings(), plan.seed(), this, plan.faultsOfSockets() ? new SocketAdvice() : HealthView.NONE);
    }

    /** Plays the day; returns its name, the number of its actions and their digest. */
    static String play(Plan plan) {
        RecordedDay day = new RecordedDay(plan);
        day.run();
        return plan.name() + " " + day.actions + " "
                + HexFormat.of().formatHex(day.digest.digest()).substring(0, 32);
    }

    private void run() {
        module.start(now);
        for (int i = 0; i < plan.endpoints(); i++) {
            Endpoint e = new Endpoint(i, ZONES_MOST, 0);
            endpoints.put(e.name, e);
        }
        module.onListUpdate(now, ListUpdateKind.RESTORED, entries());
        long end = now + LENGTH;
        at(now + 5 * MS, () -> list(ListUpdateKind.FULL));
        at(now + S, this::arrive);
        for (int i = 0; i < 12; i++) {
            at(now + 3 * S + random.nextLong(LENGTH - 6 * S), this::disturb);
        }
        while (!events.isEmpty() && events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
        }
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private List<EndpointInfo> entries() {
        return endpoints.values().stream().map(Endpoint::entry).toList();
    }

    private void list(ListUpdateKind kind) {
        module.onListUpdate(now, discoveryDown ? ListUpdateKind.FAILED : kind, discoveryDown ? List.of() : entries());
    }

    private void arrive() {
        List<RequestClass> classes = plan.settings().classes();
        RequestClass c = classes.get(random.nextInt(classes.size()));
        List<Tenant> tenants = plan.settings().tenants();
        String tenant = tenants.isEmpty() || random.nextInt(40) == 0
                ? null
                : tenants.get(random.nextInt(tenants.size())).name();
        Request request = new Request(
                "r" + arrivals++,
                c.name(),
                tenant,
                "k",
                c.deadlineUs(),
                random.nextInt(4) == 0 ? 0.5 * c.latencyObjectiveUs() : Double.NaN,
                1 + (random.nextInt(10) == 0 ? 1 : 0),
                random.nextInt(5) == 0 ? 1 : Double.NaN,
                false);
        submit(request);
        double burst = now % (15 * S) < 3 * S ? 2 : 1;
        double gap = -Math.log(1 - random.nextDouble()) * S / (plan.requestsPerSecond() * burst);
        at(now + Math.max(1, (long) gap), this::arrive);
    }

    private void submit(Request request) {
        Client client = new Client(request);
        clients.put(request.id(), client);
        long giveUp = now + request.timeLeftUs();
        at(giveUp, () -> client.attempts.forEach(a -> a.end(AttemptOutcome.TIMEOUT, LoadReport.NONE)));
        if (random.nextInt(50) == 0) {
            at(now + random.nextLong(request.timeLeftUs()), () -> {
                client.gone = true;
                module.onClientGone(now, request.id());
                client.attempts.forEach(a -> a.end(AttemptOutcome.CANCELLED, LoadReport.NONE));
            });
        }
        module.onRequest(now, request);
    }

    /** One fault or change of the list. */
    private void disturb() {
        List<Endpoint> all = new ArrayList<>(endpoints.values());
        Endpoint e = all.get(random.nextInt(all.size()));
        switch (random.nextInt(7)) {
            case 0 -> {
                e.down = true;
                e.queue.clear();
                at(now + 2 * S + random.nextLong(4 * S), () -> {
                    e.down = false;
                    e.running = 0;
                    e.startedAt = now;
                    list(ListUpdateKind.DELTA);
                });
            }
            case 1 -> {
                e.state = EndpointState.DRAINING;
                list(ListUpdateKind.DELTA);
                at(now + 2 * S, () -> {
                    e.state = EndpointState.REMOVED;
                    list(ListUpdateKind.DELTA);
                });
            }
            case 2 -> {
                Endpoint fresh = new Endpoint(endpoints.size(), ZONES_MOST, now);
                endpoints.put(fresh.name, fresh);
                list(ListUpdateKind.DELTA);
            }
            case 3 -> {
                e.silent = true;
                at(now + 4 * S, () -> e.silent = false);
            }
            case 4 -> {
                e.errorRate = 0.7;
                at(now + 5 * S, () -> e.errorRate = 0);
            }
            case 5 -> {
                discoveryDown = true;
                module.onListUpdate(now, ListUpdateKind.FAILED, List.of());
                at(now + 3 * S, () -> {
                    discoveryDown = false;
                    list(ListUpdateKind.FULL);
                });
            }
            default -> {
                List<EndpointInfo> partial = entries().subList(0, endpoints.size() / 2);
                module.onListUpdate(now, ListUpdateKind.FULL, partial);
                at(now + S, () -> list(ListUpdateKind.FULL));
            }
        }
    }

    private void reach(Sent sent) {
        Endpoint e = sent.endpoint;
        if (sent.ended) {
            return;
        }
        if (plan.faultsOfSockets() && random.nextInt(60) == 0) {
            AttemptOutcome[] faults = {
                AttemptOutcome.STALE_CONNECTION,
                AttemptOutcome.ACCEPT_TIMEOUT,
                AttemptOutcome.CANCEL_UNCONFIRMED,
                AttemptOutcome.SUPPRESSED,
                AttemptOutcome.NOT_SENT
            };
            AttemptOutcome fault = faults[random.nextInt(faults.length)];
            at(now + 20 * MS, () -> sent.end(fault, LoadReport.NONE));
        } else if (e.down) {
            AttemptOutcome fault = random.nextInt(3) == 0 ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
            at(now + 100 * MS, () -> sent.end(fault, LoadReport.NONE));
        } else if (e.silent) {
            at(now + 30 * S, () -> sent.end(AttemptOutcome.TIMEOUT, LoadReport.NONE));
        } else if (e.queue.size() >= 3 * e.slots) {
            sent.end(AttemptOutcome.REJECTED, e.load());
        } else {
            e.queue.add(sent);
            work(e);
        }
    }

    private void work(Endpoint e) {
        while (e.running < e.slots && !e.queue.isEmpty()) {
            Sent sent = e.queue.poll();
            if (sent.ended) {
                continue;
            }
            e.running++;
            long started = e.startedAt;
            if (plan.settings().notifiesStart() && random.nextInt(100) > 0) {
                module.onAttemptSignal(now, sent.client.request.id(), sent.number, AttemptSignal.STARTED, 0);
            }
            double mean = plan.settings().classes().get(0).latencyObjectiveUs() * 0.6 / e.speed;
            long run = Math.max(MS, (long) (-Math.log(1 - random.nextDouble()) * mean));
            at(now + run, () -> finish(e, sent, started));
        }
    }

    private void finish(Endpoint e, Sent sent, long started) {
        if (e.startedAt != started) {
            sent.end(AttemptOutcome.RESET, LoadReport.NONE);
            return;
        }
        e.running = Math.max(0, e.running - 1);
        sent.end(
                e.down
                        ? AttemptOutcome.RESET
                        : random.nextDouble() < e.errorRate + 0.002 ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                e.load());
        work(e);
    }

    private void write(String line) {
        actions++;
        digest.update((now + " " + line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void send(String id, String worker, long timeout) {
        write("RELAY ref " + id + " executor " + worker + " limit " + timeout);
        Client client = clients.get(id);
        Sent sent = new Sent(client, client.attempts.size(), endpoints.get(worker));
        client.attempts.add(sent);
        at(now + 300 + random.nextLong(MS), () -> reach(sent));
    }

    @Override
    public void reject(String id, long retryAfter) {
        write("OVERLOAD_REPLY ref " + id + " not_before_for " + retryAfter);
        Request r = clients.get(id).request;
        long left = (long) (0.6 * r.timeLeftUs());
        if (random.nextInt(2) == 0 && left > 50 * MS) {
            at(
                    now + retryAfter,
                    () -> submit(new Request(
                            r.id() + "+",
                            r.requestClass(),
                            r.tenant(),
                            r.idempotencyKey(),
                            left,
                            r.expectedWorkUs(),
                            r.slots(),
                            r.memory(),
                            plan.settings().marksRetries())));
        }
    }

    @Override
    public void fail(String id) {
        write("ABORT ref " + id);
    }

    @Override
    public void cancel(String id, int attempt) {
        write("DROP_ATTEMPT ref " + id + " n " + attempt);
    }

    @Override
    public void probe(String worker) {
        write("SAMPLE executor " + worker);
        Endpoint e = endpoints.get(worker);
        at(now + 2 * MS, () -> module.onProbeResult(now, worker, !e.down && !e.silent, 2 * MS, e.load()));
    }

    @Override
    public void closeIdleConnections(String worker) {
        write("DROP_CONNS executor " + worker);
    }

    @Override
    public void watchEndpointList() {
        write("WATCH on true");
        at(now + 40 * MS, () -> list(ListUpdateKind.FULL));
    }

    @Override
    public void schedule(long mark, long delay) {
        write("TIMER mark " + mark + " span " + delay);
        at(now + delay, () -> module.onTimer(now, mark));
    }

    /**
     * Advice as a node on sockets gives it: by turns an endpoint is out of health, retries are refused, the list is out
     * of date.
     */
    private final class SocketAdvice implements HealthView {
        @Override
        public EndpointHealth endpoint(String worker) {
            int number = Integer.parseInt(worker.substring(1));
            return new EndpointHealth() {
                @Override
                public boolean admits(long at, int requestClass) {
                    return (at / S + number + requestClass) % 9 != 0;
                }

                @Override
                public int concurrencyLimit() {
                    return 1 + (int) ((now / S + number) % 8);
                }
            };
        }

        @Override
        public boolean allowsRetry(long at, String tenant, int requestClass, AttemptOutcome last, long left) {
            return left > 100 * MS && (at / S + requestClass) % 5 != 0;
        }

        @Override
        public long listStaleForUs(long at) {
            long into = at % (17 * S) - 12 * S;
            return Math.max(0, into > 2 * S ? 0 : into);
        }
    }
}
