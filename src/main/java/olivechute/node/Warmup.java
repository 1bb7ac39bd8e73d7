package olivechute.node;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.stream.IntStream;
import olivechute.config.NodeConfig;
import olivechute.downstream.CodecWarmup;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.loadbalancing.EndpointState;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.EventLoop;
import olivechute.proxy.RequestDispatcher;
import olivechute.proxy.ResolvedEndpoint;
import olivechute.proxy.UpstreamRequest;
import olivechute.proxy.UpstreamTransport;

/**
 * Runs made-up requests through a dispatcher and a load balancer of their own before the node listens. What they learn
 * is thrown away; what stays is that the code is loaded and compiled.
 */
public final class Warmup implements UpstreamTransport {
    private static final int JOBS = 40;
    private static final int HOSTS = 8;
    private static final int AT_ONCE = 4;
    /**
     * It ends after so long, whatever it has played: on a busy machine it must not hold up a node that others wait for.
     */
    private static final long MAX_DURATION_US = 1_500_000;

    private final Queue<UpstreamRequest> sent = new ArrayDeque<>();
    private int answers;

    /** Returns how many of the jobs were answered. */
    public static int run(NodeConfig config) {
        return run(config, MAX_DURATION_US);
    }

    /** Begins no further job after so many microseconds. */
    public static int run(NodeConfig config, long longest) {
        return new Warmup().play(config, longest);
    }

    private int play(NodeConfig config, long longest) {
        EventLoop loop = new EventLoop(); // never started: this thread has its events to itself
        RequestDispatcher dispatcher =
                new RequestDispatcher(loop, config.settings(), 1, this, () -> {}, JOBS, Long.MAX_VALUE);
        List<ResolvedEndpoint> hosts = IntStream.range(0, HOSTS)
                .mapToObj(i -> new ResolvedEndpoint(
                        new EndpointInfo("warmup-" + i, config.settings().zone(), null, 0, EndpointState.ACTIVE, 1, 0),
                        "127.0.0.1:1"))
                .toList();
        dispatcher.disableRequestLog();
        dispatcher.start(new EndpointListUpdate(1, true, hosts));
        CodecWarmup rehearsal = new CodecWarmup(config.settings(), config.report());
        long end = loop.now() + longest;
        boolean last = false;
        for (int n = 0; n < JOBS && !last; n++) {
            rehearsal.request(n, loop.now(), dispatcher, bytes -> answers++);
            last = n == JOBS - 1 || loop.now() >= end;
            while (sent.size() > (last ? 0 : AT_ONCE)) {
                UpstreamRequest request = sent.poll();
                int job = Integer.parseInt(request.requestId(), 16);
                rehearsal.jobStatus(job, request.endpoint(), "started", dispatcher);
                rehearsal.jobStatus(job, request.endpoint(), "running", dispatcher);
                rehearsal.jobStatus(job, request.endpoint(), "done", dispatcher);
            }
        }
        return answers;
    }

    @Override
    public void onListUpdate(EndpointListUpdate list) {
        // there is nothing to reach
    }

    @Override
    public boolean acceptsRequests(String host) {
        return true;
    }

    @Override
    public boolean hasWrittenBytes(UpstreamRequest request) {
        return true;
    }

    @Override
    public void suppressIfUnwritten(UpstreamRequest request) {
        // all of it is written at once
    }

    @Override
    public void send(UpstreamRequest request) {
        sent.add(request);
    }

    @Override
    public boolean cancelWithoutReport(UpstreamRequest request, boolean accepted) {
        sent.remove(request);
        return false;
    }

    @Override
    public long handshakeAllowanceUs(UpstreamRequest request) {
        return 0;
    }

    @Override
    public void cancelAndReportEnd(UpstreamRequest request, boolean accepted) {
        sent.remove(request);
    }

    @Override
    public void closeIdleConnections(String host) {
        // there are no connections
    }
}
