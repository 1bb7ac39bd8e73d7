package olivechute.benchmark;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A simulated discovery service whose list never changes: a poll returns the full list, a watch returns an empty update
 * after its wait.
 */
final class StandInDiscovery implements AutoCloseable {
    private static final Pattern WAIT = Pattern.compile("timeout_ms=([0-9]+)");

    private final Listener listener;
    private final CountDownLatch closed = new CountDownLatch(1);

    StandInDiscovery(String entries) throws IOException {
        String list = "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entries + "]}";
        byte[] fullList = response(list);
        byte[] emptyUpdate = response("{\"index\":1,\"snapshot\":false,\"endpoints\":[]}");
        listener = new Listener("stand-in-discovery", ConnectionFactory.PLAINTEXT.listener(), connection -> {
            for (BlockingHttpConnection.Message m = connection.read(); m != null; m = connection.read()) {
                Matcher wait = WAIT.matcher(m.head());
                boolean watch = wait.find();
                if (watch) {
                    closed.await(Long.parseLong(wait.group(1)), TimeUnit.MILLISECONDS);
                }
                connection.write(watch ? emptyUpdate : fullList);
            }
        });
    }

    private static byte[] response(String list) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    String addressText() {
        return listener.addressText();
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        listener.close();
    }
}
