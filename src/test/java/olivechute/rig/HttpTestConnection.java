package olivechute.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.ResponseParser;

/** A client connection of the test harness, one exchange at a time. Not thread-safe. */
final class HttpTestConnection implements AutoCloseable {
    private final Socket socket = new Socket();
    private final ResponseParser parser = new ResponseParser();
    private final byte[] buffer = new byte[8192];
    private int from; // the first byte of the buffer that is not parsed yet
    private int to; // the end of the received bytes in the buffer

    HttpTestConnection(InetSocketAddress address, int dialMillis) throws IOException {
        try {
            socket.connect(address, dialMillis);
            socket.setTcpNoDelay(true);
        } catch (IOException e) {
            LinkProxy.closeQuietly(socket);
            throw e;
        }
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Returns the next response, or null if the connection ends before it is complete; a timeout throws. */
    HttpResponse receive(int withinMillis) throws IOException, HttpException {
        long end = EventLedger.now() + withinMillis;
        boolean begun = false;
        for (; ; ) {
            while (from < to) {
                from += parser.feed(buffer, from, to - from);
                begun = true;
                if (parser.isComplete()) {
                    return parser.take();
                }
            }
            socket.setSoTimeout((int) Math.max(1, end - EventLedger.now()));
            from = 0;
            to = Math.max(0, socket.getInputStream().read(buffer));
            if (to == 0) {
                if (begun) {
                    return parser.onEndOfInput() ? parser.take() : null;
                }
                return null;
            }
        }
    }

    /**
     * Returns an unsolicited response that has already arrived, or null if there is none or the connection has ended.
     */
    HttpResponse pollUnsolicited() {
        try {
            return from < to || socket.getInputStream().available() > 0 ? receive(1000) : null;
        } catch (IOException | HttpException e) {
            return null;
        }
    }

    @Override
    public void close() {
        LinkProxy.closeQuietly(socket);
    }
}
