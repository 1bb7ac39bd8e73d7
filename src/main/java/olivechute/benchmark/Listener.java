package olivechute.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import olivechute.net.Threads;

/**
 * The listening socket of a simulated endpoint or discovery service, on a free loopback port, with a thread for each
 * connection.
 */
final class Listener implements AutoCloseable {
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong acceptedConnections = new AtomicLong();

    /** Handles one connection from its first byte to its end. */
    interface ConnectionHandler {
        void serve(BlockingHttpConnection connection) throws IOException, InterruptedException;
    }

    Listener(String name, ServerSocket listener, ConnectionHandler handler) {
        server = listener;
        Threads.start(name, () -> {
            try {
                for (; ; ) {
                    Socket socket = server.accept();
                    acceptedConnections.incrementAndGet();
                    sockets.add(socket);
                    Threads.start(name, () -> run(socket, handler));
                }
            } catch (IOException closed) {
                return;
            }
        });
    }

    private void run(Socket socket, ConnectionHandler handler) {
        try (socket) {
            handler.serve(new BlockingHttpConnection(socket));
        } catch (IOException | InterruptedException ended) {
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Returns the address as discovery and the configuration write it. */
    String addressText() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** Returns the number of connections accepted so far. */
    long acceptedConnections() {
        return acceptedConnections.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
