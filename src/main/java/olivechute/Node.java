package olivechute;

import java.io.IOException;
import java.net.InetSocketAddress;
import olivechute.config.NodeConfig;
import olivechute.core.Dispatcher;
import olivechute.core.Event;
import olivechute.core.EventLoop;
import olivechute.discovery.ListWatch;
import olivechute.downstream.HttpFront;
import olivechute.net.Writers;
import olivechute.upstream.HostPools;
import olivechute.upstream.PressureHeader;
import org.tinylog.Logger;

/** One real node: its parts, wired together. */
final class Node {
    private static final long SWEEP = 100_000;
    private static final long FRONT_MOVES_ON = 800;         // ms after which no new client comes to a node that ends
    private static final long QUIET = 500_000;

    private final EventLoop loop = new EventLoop();
    private final HttpFront front;
    private final Dispatcher dispatcher;

    Node(NodeConfig config) throws IOException {
        int upstream = config.connections() / 4;
        int downstream = config.connections() - upstream;
        // Half of the downstream connections stay free for news: without it no stream would end.
        int streams = Math.min(config.openStreams(), Math.max(1, downstream / 2));
        Writers writers = new Writers(2 * config.connections());
        HostPools pools = new HostPools(loop, writers, new PressureHeader(config.report()),
            config.settings().limits().connIdle(), config.dialTimeout(), upstream);
        ListWatch watch = new ListWatch(loop, config.discovery(), config.known());
        dispatcher = new Dispatcher(loop, config.settings(), config.seed(), pools, watch, streams);
        front = new HttpFront(loop, writers, config.settings(), config.report(), downstream);
        loop.every(SWEEP, pools::sweep);
        loop.every(SWEEP, front::sweep);
        loop.post(new Event.Task(() -> dispatcher.start(config.known())));
        loop.start(dispatcher);
        watch.start();
        front.start(config.listen());
        Logger.info("{} listens on {}", config.name(), front.address());
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return front.address();
    }

    /** Streams that are owed an answer. */
    int unanswered() {
        return front.unanswered();
    }

    /** Returns once all that was taken is answered and nobody sends here any more. */
    void drain() throws InterruptedException {
        Logger.info("draining");
        front.drain();
        Thread.sleep(FRONT_MOVES_ON);
        while (front.unanswered() > 0 || loop.now() - front.lastTaken() < QUIET) {
            Thread.sleep(20);
        }
        Thread.sleep(50);                                   // the last answers leave
        Logger.info("drained");
    }
}
