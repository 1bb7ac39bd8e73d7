package olivechute.downstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.tinylog.Logger;

/** Opens listening sockets, and tries again where the system fails for a moment. */
final class ListenerSockets {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long BIND_RETRY_NANOS = 3_000_000_000L;
    private static final long RETRY_PAUSE_MILLIS = 20;

    private ListenerSockets() {}

    /**
     * Retries for a while, as the address may still belong to an earlier process and the system may lack sockets, both
     * only briefly.
     */
    static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        long deadlineNanos = System.nanoTime() + BIND_RETRY_NANOS;
        for (; ; ) {
            try {
                ServerSocketChannel listener = ServerSocketChannel.open();
                try {
                    return listener.bind(address, ACCEPT_BACKLOG);
                } catch (IOException e) {
                    listener.close();
                    throw e;
                }
            } catch (IOException e) {
                if (System.nanoTime() - deadlineNanos >= 0) {
                    throw e;
                }
                Logger.warn("listen on {}: {}; retrying", address, e.getMessage());
            }
            pauseBeforeRetry();
        }
    }

    static void pauseBeforeRetry() {
        try {
            Thread.sleep(RETRY_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
