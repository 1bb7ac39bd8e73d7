package olivechute.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;

/** How the stand-ins of a rig connect with its node. */
interface ConnectionFactory extends AutoCloseable {
    /** In plain TCP. */
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

    /** A client's connection. */
    BlockingHttpConnection client(InetSocketAddress node) throws IOException;

    /** A sign worker's, for news. */
    BlockingHttpConnection endpoint(InetSocketAddress node) throws IOException;

    /** Where a sign worker takes jobs. */
    ServerSocket listener() throws IOException;

    /** The operators' settings of the node, null for none. */
    Path settings();

    @Override
    void close() throws IOException;
}
