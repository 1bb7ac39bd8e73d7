package olivechute.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.RequestParser;
import olivechute.net.Threads;
import olivechute.rig.TestSetupException;

/** A stub server on loopback with one thread for each connection, whose handler has full control of the connection. */
final class SoakListener implements AutoCloseable {
    /** One request on one connection; times are microseconds of {@link History#nowUs}. */
    record Exchange(HttpRequest request, Socket socket, long beganUs, long completeUs) {
        void reply(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Handles requests and the ends of connections. */
    interface Handler {
        void handle(Exchange exchange) throws IOException, InterruptedException;

        /** Called when the connection whose last request this was has ended. */
        default void onEnd(Exchange last) {}

        /** Returns whether a new connection is accepted. */
        default boolean accepts() {
            return true;
        }
    }

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 500;

    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    SoakListener(String name, Handler handler) {
        this.handler = handler;
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new TestSetupException("cannot listen for " + name, e);
        }
        Threads.start("soak-" + name, () -> accept(name));
    }

    private void accept(String name) {
        try {
            for (; ; ) {
                Socket socket = server.accept();
                if (!handler.accepts()) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    continue;
                }
                sockets.add(socket);
                Threads.start("soak-" + name, () -> serve(socket));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void serve(Socket socket) {
        RequestParser parser = new RequestParser();
        byte[] buffer = new byte[BUFFER_BYTES];
        Exchange last = null;
        long beganUs = 0;
        try (socket) {
            socket.setTcpNoDelay(true);
            for (int n = socket.getInputStream().read(buffer);
                    n >= 0;
                    n = socket.getInputStream().read(buffer)) {
                beganUs = parser.isInMessage() ? beganUs : History.nowUs();
                for (int at = 0; at < n; ) {
                    at += parser.feed(buffer, at, n - at);
                    if (parser.isComplete()) {
                        last = new Exchange(parser.take(), socket, beganUs, History.nowUs());
                        handler.handle(last);
                    }
                }
            }
        } catch (IOException | HttpException | InterruptedException ended) {
            return;
        } finally {
            sockets.remove(socket);
            if (last != null) {
                handler.onEnd(last);
            }
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String text() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** Resets all open connections. */
    void resetAll() {
        sockets.forEach(SoakListener::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            return; // already closed
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new TestSetupException("cannot close a listener", e);
        }
        resetAll();
    }
}
