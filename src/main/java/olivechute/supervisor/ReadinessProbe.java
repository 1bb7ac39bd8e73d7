package olivechute.supervisor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import olivechute.net.TimedReads;

/** Readiness probe for a node of this machine, an HTTP request to {@code /health/ready}. */
final class ReadinessProbe {
    private static final int TIMEOUT_MS = 1000;
    private static final byte[] REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String OK_STATUS_LINE = "HTTP/1.1 200";

    private ReadinessProbe() {}

    /**
     * Returns true if the node answers with status 200 within the timeout of 1 second for connecting and for each read.
     */
    static boolean isReady(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(REQUEST);
            byte[] head = new byte[OK_STATUS_LINE.length()];
            int count = 0;
            for (int offset = 0; count >= 0 && offset < head.length; offset += count) {
                count = TimedReads.read(socket.getInputStream(), head, offset, head.length - offset);
            }
            return new String(head, StandardCharsets.US_ASCII).equals(OK_STATUS_LINE);
        } catch (IOException e) {
            return false;
        }
    }
}
