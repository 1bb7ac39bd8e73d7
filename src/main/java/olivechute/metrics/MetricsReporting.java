package olivechute.metrics;

import java.io.IOException;
import java.util.List;
import java.util.random.RandomGenerator;
import olivechute.config.MetricsSettings;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.RequestMetrics;

/**
 * Reports a node's request metrics to its supervisor once a second. Counters and snapshots belong to the event loop;
 * {@link MetricsSender} sends on a thread of its own.
 */
public final class MetricsReporting {
    private static final long INTERVAL_US = 1_000_000;

    private final EventLoop loop;
    private final RequestCounters counters;
    private final MetricsSender sender;

    /**
     * {@code classNames}: names of the node's request classes, in order. The time of this call becomes the incarnation
     * of the node's process.
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

    /** Returns the counters, to be updated on the event loop. */
    public RequestMetrics requestMetrics() {
        return counters;
    }

    /** Starts the reports; must be called before the event loop starts. */
    public void start() {
        sender.start();
        loop.runPeriodically(INTERVAL_US, this::report);
    }

    private void report() {
        sender.offer(counters.snapshot(loop.now()));
    }

    /** Sends a last report and then stops; returns at once. */
    public void shutDown() {
        loop.post(new ProxyEvent.Task(() -> {
            report();
            sender.shutDown();
        }));
    }
}
