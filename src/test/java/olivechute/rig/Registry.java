package olivechute.rig;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import olivechute.http.MessageWriter;

/**
 * A stand-in of discovery: to each node the workers with the addresses that are for it. The list never changes; a watch
 * waits its time.
 */
public final class Registry implements AutoCloseable {
    private static final String INDEX = "1";

    private final Workers workers;
    private final String zone;
    private final Map<String, HttpPeer> peers = new HashMap<>();
    private final CountDownLatch end = new CountDownLatch(1);

    public Registry(Workers workers, String zone) {
        this.workers = workers;
        this.zone = zone;
    }

    /** Listens for this node; returns where, as settings write it. */
    public synchronized String node(String node) {
        byte[] whole = list(true, workers.entries(node, zone));
        byte[] same = list(false, "");
        HttpPeer peer = new HttpPeer("discovery", request -> {
            if (!INDEX.equals(request.queryParameter("since"))) {
                return whole;
            }
            String wait = request.queryParameter("timeout_ms");
            end.await(wait == null ? 1000 : Math.min(60_000, Long.parseLong(wait)), TimeUnit.MILLISECONDS);
            return same;
        });
        peers.put(node, peer);
        return peer.text();
    }

    private static byte[] list(boolean whole, String entries) {
        return MessageWriter.response(
                200,
                ("{\"index\":" + INDEX + ",\"snapshot\":" + whole + ",\"endpoints\":[" + entries + "]}")
                        .getBytes(StandardCharsets.UTF_8),
                true);
    }

    @Override
    public synchronized void close() {
        end.countDown();
        peers.values().forEach(HttpPeer::close);
    }
}
