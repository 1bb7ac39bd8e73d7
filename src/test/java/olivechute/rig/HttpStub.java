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

/** A stub HTTP server on a loopback port chosen by the system, with one thread for each connection. */
final class HttpStub implements AutoCloseable {
    private final ServerSocket server;
    private final Responder responder;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** Produces the response to a request. */
    interface Responder {
        byte[] answer(HttpRequest request) throws InterruptedException;

        /** Returns whether requests are ignored whose connection the client has already closed, which cancels them. */
        default boolean ignoresClosedConnections() {
            return false;
        }
    }

    HttpStub(String name, Responder answering) {
        this.responder = answering;
        try {
            server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new TestSetupException("cannot listen for " + name, e);
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

    /** Returns true if the client has closed the connection; nothing else may arrive on it at this point. */
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
            throw new TestSetupException("cannot close a listener", e);
        }
        sockets.forEach(LinkProxy::closeQuietly);
    }
}
