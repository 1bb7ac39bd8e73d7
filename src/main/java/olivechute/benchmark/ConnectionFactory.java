package olivechute.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;

/** Opens the connections between the simulated clients and endpoints and the measured node. */
interface ConnectionFactory extends AutoCloseable {
    /** Connections in plain TCP. */
    ConnectionFactory PLAINTEXT = new ConnectionFactory() {
        @Override
        public BlockingHttpConnection client(InetSocketAddress node) throws IOException {
            return BlockingHttpConnection.connect(node);
        }

        @Override
        public BlockingHttpConnection endpoint(InetSocketAddress node) throws IOException {
            return BlockingHttpConnection.connect(node);
        }

        @Override
        public ServerSocket listener() throws IOException {
            return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        }

        @Override
        public Path settings() {
            return null;
        }

        @Override
        public void close() {
            // nothing was opened
        }
    };

    int BACKLOG = 512;

    /** Opens a client's connection to the node. */
    BlockingHttpConnection client(InetSocketAddress node) throws IOException;

    /** Opens an endpoint's connection to the node, for job status events. */
    BlockingHttpConnection endpoint(InetSocketAddress node) throws IOException;

    /** Opens the socket on which an endpoint accepts requests. */
    ServerSocket listener() throws IOException;

    /** Returns the node's operator settings file, or null for none. */
    Path settings();

    @Override
    void close() throws IOException;
}
