package olivechute.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import javax.net.ssl.SSLSocket;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;
import olivechute.identity.TrustBundle;
import olivechute.identity.TrustBundles;
import olivechute.testca.CertificateAuthority;
import olivechute.testca.TrustDirectory;
import olivechute.tls.TlsContext;

/**
 * A trust domain for a node and its simulated clients and endpoints, which use the JDK's TLS sockets. Its CA can be
 * replaced while they run.
 */
final class TestTrustDomain implements ConnectionFactory {
    static final String DOMAIN = "cost.example";
    private static final Duration HOUR = Duration.ofHours(1);
    private static final String SETTINGS = """
        identity {
          enabled = true, trust_domain = "cost.example", upstream = true
          source { folder = "FOLDER", poll = 50ms }
          downstream { mode = only }
          clients = [ { id = "spiffe://cost.example/client", tenants = ["*"] } ]
          hosts = [ { host = "w*", id = "spiffe://cost.example/sign-worker" } ]
        }
        """;

    private final Path dir = Files.createTempDirectory("cost-trust");
    private final TrustDirectory node = new TrustDirectory(dir.resolve("node"));
    private final Path settings = dir.resolve("olivechute.conf");
    private CertificateAuthority root;
    private volatile TrustBundles bundles;
    private volatile TlsContext client;
    private volatile TlsContext endpoint;

    TestTrustDomain() throws IOException {
        Files.writeString(
                settings, SETTINGS.replace("FOLDER", dir.resolve("node").toString()));
        root = authority();
        trust(List.of(root.certificate()));
        renewSvids();
    }

    private static CertificateAuthority authority() {
        Instant now = Instant.now();
        return CertificateAuthority.root(DOMAIN, now.minusSeconds(60), now.plus(HOUR));
    }

    /** Creates another CA and trusts it beside the current one; returns the previous CA. */
    CertificateAuthority addAuthority() throws IOException {
        CertificateAuthority before = root;
        root = authority();
        trust(List.of(before.certificate(), root.certificate()));
        return before;
    }

    /** Trusts only the latest CA. */
    void removeOldAuthority() throws IOException {
        trust(List.of(root.certificate()));
    }

    private void trust(List<X509Certificate> authorities) throws IOException {
        node.bundle(authorities);
        bundles = TrustBundles.EMPTY.with(new TrustBundle(DOMAIN, authorities, Map.of()));
    }

    /** Issues new SVIDs for all parties by the latest CA. */
    void renewSvids() throws IOException {
        node.svid(issue("/node"));
        client = context("/client");
        endpoint = context("/sign-worker");
    }

    private CertificateAuthority.Issued issue(String path) throws IOException {
        try {
            Instant now = Instant.now();
            return root.issue(SpiffeId.parse("spiffe://" + DOMAIN + path), now.minusSeconds(60), now.plus(HOUR));
        } catch (IdentityRejectedException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private TlsContext context(String path) throws IOException {
        CertificateAuthority.Issued own = issue(path);
        return new TlsContext(own.chain(), own.key(), false, () -> bundles, Instant::now);
    }

    /** Returns the clients' TLS context; another object after each renewal. */
    TlsContext client() {
        return client;
    }

    private static BlockingHttpConnection connect(TlsContext identity, InetSocketAddress node) throws IOException {
        Socket socket = identity.sslContext().getSocketFactory().createSocket();
        socket.connect(node, BlockingHttpConnection.TIMEOUT_MILLIS);
        return new BlockingHttpConnection(socket);
    }

    /**
     * The first request is sent at once: a connection that sends nothing for 2 s, its handshake included, is closed by
     * the node.
     */
    @Override
    public BlockingHttpConnection client(InetSocketAddress nodeAddress) throws IOException {
        BlockingHttpConnection connection = connect(client, nodeAddress);
        connection.write(BlockingHttpConnection.READINESS_REQUEST);
        if (connection.read() == null) {
            throw new IOException("no answer on a new connection");
        }
        return connection;
    }

    @Override
    public BlockingHttpConnection endpoint(InetSocketAddress nodeAddress) throws IOException {
        return connect(endpoint, nodeAddress);
    }

    /** Each connection is accepted with the SVID that is current at that moment. */
    @Override
    public ServerSocket listener() throws IOException {
        return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()) {
            @Override
            public Socket accept() throws IOException {
                Socket accepted = super.accept();
                accepted.setTcpNoDelay(true);
                SSLSocket tlsSocket =
                        (SSLSocket) endpoint.sslContext().getSocketFactory().createSocket(accepted, null, true);
                tlsSocket.setUseClientMode(false);
                tlsSocket.setNeedClientAuth(true);
                return tlsSocket;
            }
        };
    }

    @Override
    public Path settings() {
        return settings;
    }

    @Override
    public void close() throws IOException {
        try (Stream<Path> files = Files.walk(dir)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
