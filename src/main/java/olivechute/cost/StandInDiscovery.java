package olivechute.cost;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/** A stand-in of discovery whose list never changes: the first call has it whole, a watch waits until the end. */
final class StandInDiscovery implements AutoCloseable {
    private final Listener listener;
    private final CountDownLatch end = new CountDownLatch(1);

    StandInDiscovery(String entries) throws IOException {
        String list = "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entries + "]}";
        byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
            .getBytes(StandardCharsets.ISO_8859_1);
        listener = new Listener("stand-in-discovery", Connecting.PLAIN.listener(), wire -> {
            for (Wire.Message m = wire.read(); m != null; m = wire.read()) {
                if (m.head().contains("since=")) {
                    end.await();
                }
                wire.write(answer);
            }
        });
    }

    String text() {
        return listener.text();
    }

    @Override
    public void close() throws IOException {
        end.countDown();
        listener.close();
    }
}
