package olivechute.metrics;

import java.io.IOException;
import java.util.List;
import java.util.random.RandomGenerator;
import olivechute.config.MetricsSettings;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.RequestMetrics;

/** A node's counts on their way to its supervisor, a report each second. */
public final class MetricsReporting {
    private static final long INTERVAL_US = 1_000_000;

    private final EventLoop loop;
    private final RequestCounters counters;
    private final MetricsSender sender;

    /**
     * {@code classes}: names of the node's classes of requests, in order; the node's process is named by the moment of
     * this call.
     */
    public MetricsReporting(
            EventLoop loop, MetricsSettings settings, String node, List<String> classNames, RandomGenerator random)
            throws IOException {
        this.loop = loop;
        counters = new RequestCounters(classNames.size());
        sender = new MetricsSender(
                settings.supervisorAddress(),
                new MetricsSnapshot.Origin(node, settings.version(), loop.now(), classNames),
                MetricsSender.Limits.DEFAULT,
                random);
    }

    /** What is told of the node's streams. */
    public RequestMetrics requestMetrics() {
        return counters;
    }

    /** Reports from now on; to be called before the loop starts. */
    public void start() {
        sender.start();
        loop.runPeriodically(INTERVAL_US, this::report);
    }

    private void report() {
        sender.offer(counters.snapshot(loop.now()));
    }

    /** Reports once more and then ends; returns at once. */
    public void shutDown() {
        loop.post(new ProxyEvent.Task(() -> {
            report();
            sender.shutDown();
        }));
    }
}
