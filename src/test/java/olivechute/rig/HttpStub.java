package olivechute.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.RequestParser;
import olivechute.net.Threads;

/** A listener of a stand-in on a loopback address of the system's choice, with a thread for each connection. */
final class HttpStub implements AutoCloseable {
    private final ServerSocket server;
    private final Responder responder;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** The bytes to answer a request with. */
    interface Responder {
        byte[] answer(HttpRequest request) throws InterruptedException;

        /** Whether a request whose connection its sender has ended already is left alone: it gave it up. */
        default boolean ignoresClosedConnections() {
            return false;
        }
    }

    HttpStub(String name, Responder answering) {
        this.responder = answering;
        try {
            server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new TestSetupException("no listener for " + name, e);
        }
        Threads.start("rig-" + name, () -> {
            try {
                for (; ; ) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    Threads.start("rig-" + name, () -> serve(socket));
                }
            } catch (IOException closed) {
                return;
            }
        });
    }

    private void serve(Socket socket) {
        RequestParser parser = new RequestParser();
        byte[] buffer = new byte[8192];
        try (socket) {
            socket.setTcpNoDelay(true);
            for (int n = socket.getInputStream().read(buffer);
                    n >= 0;
                    n = socket.getInputStream().read(buffer)) {
                for (int at = 0; at < n; ) {
                    at += parser.feed(buffer, at, n - at);
                    if (parser.isComplete()) {
                        if (responder.ignoresClosedConnections() && at == n && isClosedByClient(socket)) {
                            return;
                        }
                        socket.getOutputStream().write(responder.answer(parser.take()));
                    }
                }
            }
        } catch (IOException | HttpException | InterruptedException ended) {
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    /** True if the other side has ended the connection; nothing else may come on it now. */
    private static boolean isClosedByClient(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String hostAndPort() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new TestSetupException("a listener does not close", e);
        }
        sockets.forEach(LinkProxy::closeQuietly);
    }
}
