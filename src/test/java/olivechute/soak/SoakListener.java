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

/** A listener on loopback with a thread for each connection, whose handler may do to a connection what it likes. */
final class SoakListener implements AutoCloseable {
    /** One request on one connection. */
    record Exchange(HttpRequest request, Socket socket, long beganUs, long completeUs) {
        void reply(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** What is done with requests, and with the ends of connections. */
    interface Handler {
        void handle(Exchange exchange) throws IOException, InterruptedException;

        /** The connection that carried this last has ended. */
        default void onEnd(Exchange last) {}

        /** Whether a new connection is let in. */
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
            throw new TestSetupException("no listener for " + name, e);
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

    /** Resets all that is open. */
    void resetAll() {
        sockets.forEach(SoakListener::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            return; // closed already
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new TestSetupException("a listener does not close", e);
        }
        resetAll();
    }
}
