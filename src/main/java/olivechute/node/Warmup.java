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
 * Sends synthetic requests through a separate dispatcher and load balancer before the node listens, so that the code is
 * loaded and compiled. Their state is discarded. Runs on the thread that starts the node.
 */
public final class Warmup implements UpstreamTransport {
    private static final int MAX_REQUESTS = 40;
    private static final int ENDPOINT_COUNT = 8;
    private static final int MAX_OPEN_REQUESTS = 4;
    /** Upper bound of the warmup: on a busy machine it must not delay the start of a node that others wait for. */
    private static final long MAX_DURATION_US = 1_500_000;

    private final Queue<UpstreamRequest> sent = new ArrayDeque<>();
    private int answeredRequests;

    /** Returns how many requests were answered. */
    public static int run(NodeConfig config) {
        return run(config, MAX_DURATION_US);
    }

    /** Sends no further request after so many microseconds; returns how many were answered. */
    public static int run(NodeConfig config, long maxDurationUs) {
        return new Warmup().execute(config, maxDurationUs);
    }

    private int execute(NodeConfig config, long maxDurationUs) {
        EventLoop loop = new EventLoop(); // never started, as this thread runs its events
        RequestDispatcher dispatcher =
                new RequestDispatcher(loop, config.settings(), 1, this, () -> {}, MAX_REQUESTS, Long.MAX_VALUE);
        List<ResolvedEndpoint> endpoints = IntStream.range(0, ENDPOINT_COUNT)
                .mapToObj(i -> new ResolvedEndpoint(
                        new EndpointInfo("warmup-" + i, config.settings().zone(), null, 0, EndpointState.ACTIVE, 1, 0),
                        "127.0.0.1:1"))
                .toList();
        dispatcher.disableRequestLog();
        dispatcher.start(new EndpointListUpdate(1, true, endpoints));
        CodecWarmup codecWarmup = new CodecWarmup(config.settings(), config.loadReportFields());
        long deadlineUs = loop.now() + maxDurationUs;
        boolean last = false;
        for (int sequence = 0; sequence < MAX_REQUESTS && !last; sequence++) {
            codecWarmup.request(sequence, loop.now(), dispatcher, bytes -> answeredRequests++);
            last = sequence == MAX_REQUESTS - 1 || loop.now() >= deadlineUs;
            while (sent.size() > (last ? 0 : MAX_OPEN_REQUESTS)) {
                UpstreamRequest request = sent.poll();
                int requestNumber = Integer.parseInt(request.requestId(), 16);
                codecWarmup.jobStatus(requestNumber, request.endpoint(), "started", dispatcher);
                codecWarmup.jobStatus(requestNumber, request.endpoint(), "running", dispatcher);
                codecWarmup.jobStatus(requestNumber, request.endpoint(), "done", dispatcher);
            }
        }
        return answeredRequests;
    }

    @Override
    public void onListUpdate(EndpointListUpdate list) {
        // no endpoint is connected to
    }

    @Override
    public boolean acceptsRequests(String endpoint) {
        return true;
    }

    @Override
    public boolean hasWrittenBytes(UpstreamRequest request) {
        return true;
    }

    @Override
    public void suppressIfUnwritten(UpstreamRequest request) {
        // requests are written immediately
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
    public void closeIdleConnections(String endpoint) {
        // there are no connections to close
    }
}
