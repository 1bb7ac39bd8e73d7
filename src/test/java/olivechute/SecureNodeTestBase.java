package olivechute;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import javax.net.ssl.SSLSocket;
import olivechute.config.NodeConfig;
import olivechute.identity.SpiffeId;
import olivechute.identity.TrustBundle;
import olivechute.identity.TrustBundles;
import olivechute.node.Node;
import olivechute.testca.CertificateAuthority;
import olivechute.testca.TrustDirectory;
import olivechute.tls.TlsContext;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Base class of tests of a node with identities: its certificates lie in a directory, and clients and servers use the
 * TLS sockets of the Java platform.
 */
abstract class SecureNodeTestBase extends NodeTestBase {
    static final String DOMAIN = "dala.example";
    private static final Duration HOUR = Duration.ofHours(1);
    /** Template of the settings; {@code SOURCE} and {@code EXTRA} are replaced by tests. */
    static final String SETTINGS = """
        identity {
          enabled = true
          trust_domain = "dala.example"
          SOURCE
          downstream { mode = only }
          upstream = true
          clients = [
            { id = "spiffe://dala.example/client/acme", tenants = [acme] }
            { id = "spiffe://dala.example/client/bolt", tenants = [bolt] }
          ]
          hosts = [ { host = "s*", id = "spiffe://dala.example/sign-worker/{host}" } ]
          EXTRA
        }
        """;

    private static boolean warmedUp; // a node of this process has completed handshakes on both sides

    Instant startTime;
    volatile Duration clockOffset; // offset of the node's clock for identities from the system clock
    CertificateAuthority root;
    volatile TrustBundles bundles; // trusted by all clients and servers except the node
    Path folder;
    TrustDirectory nodeTrustDirectory;
    Path settings;
    int deadlineSeconds; // s, for all classes

    @BeforeMethod
    public void setUpTrust() throws Exception {
        clockOffset = Duration.ZERO;
        deadlineSeconds = 5;
        startTime = Instant.now();
        root = authority();
        bundles = TrustBundles.EMPTY.with(root.bundle());
        folder = Files.createTempDirectory("svid");
        nodeTrustDirectory =
                new TrustDirectory(folder).svid(issue("/node", HOUR)).bundle(List.of(root.certificate()));
        warmUp();
    }

    /**
     * The first handshakes of a process load and compile classes, which on a busy machine takes longer than a server
     * has to accept a job. As this is not what the tests are about, a separate node runs jobs that may fail until one
     * succeeds.
     */
    private void warmUp() throws Exception {
        if (warmedUp) {
            return;
        }
        startSecure(SETTINGS, endpointEntry("s0", secureWorker("s0", "warm"), "active", 0));
        for (int i = 0; i < 10 && !warmedUp; i++) {
            warmedUp = statusAndBody(client("/client/acme").exchange(TestClient.jobRequest("sign", "warm" + i, 5000)))
                    .equals("200 warm");
        }
        assertTrue(warmedUp, "none of ten jobs was done");
        closeResources();
        Files.delete(settings);
    }

    @AfterMethod(alwaysRun = true)
    public void removeTrust() throws IOException {
        Files.deleteIfExists(settings);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    Instant now() {
        return Instant.now().plus(clockOffset);
    }

    CertificateAuthority authority() {
        return CertificateAuthority.root(DOMAIN, startTime.minus(HOUR), startTime.plus(HOUR.multipliedBy(4)));
    }

    CertificateAuthority.Issued issue(String path, Duration lifetime) throws Exception {
        return issue(root, path, lifetime);
    }

    CertificateAuthority.Issued issue(CertificateAuthority authority, String path, Duration lifetime) throws Exception {
        return authority.issue(
                SpiffeId.parse("spiffe://" + DOMAIN + path), startTime.minusSeconds(60), now().plus(lifetime));
    }

    TlsContext context(CertificateAuthority.Issued issued) {
        return context(issued, () -> bundles);
    }

    /** Creates a context that verifies peers with these bundles. */
    TlsContext context(CertificateAuthority.Issued issued, Supplier<TrustBundles> trusted) {
        return new TlsContext(issued.chain(), issued.key(), false, trusted, this::now);
    }

    /** Creates a context with an identity that is valid for one hour. */
    TlsContext workloadContext(String path) throws Exception {
        return context(issue(path, HOUR));
    }

    void trust(CertificateAuthority... authorities) throws IOException {
        List<X509Certificate> all =
                Stream.of(authorities).map(CertificateAuthority::certificate).toList();
        bundles = TrustBundles.EMPTY.with(new TrustBundle(DOMAIN, all, Map.of()));
        nodeTrustDirectory.bundle(all);
    }

    /** Starts a TLS server with this identity. */
    TestServer secureServer(TlsContext identity, TestServer.ResponseHandler answer) throws IOException {
        TestServer peer = new TestServer(answer, tlsWrapper(identity));
        resources.add(peer);
        return peer;
    }

    /** Wraps accepted connections in TLS with this identity and requires a client certificate. */
    static TestServer.SocketWrapper tlsWrapper(TlsContext identity) {
        return accepted -> {
            SSLSocket socket = (SSLSocket)
                    identity.sslContext().getSocketFactory().createSocket(accepted, (InputStream) null, true);
            socket.setNeedClientAuth(true);
            return socket;
        };
    }

    TestServer secureServer(String name, TestServer.ResponseHandler answer) throws Exception {
        return secureServer(workloadContext("/sign-worker/" + name), answer);
    }

    TestClient client(TlsContext identity) throws IOException {
        TestClient client = new TestClient(
                node.address(), identity.sslContext().getSocketFactory().createSocket());
        resources.add(client);
        return client;
    }

    TestClient client(String path) throws Exception {
        return client(workloadContext(path));
    }

    /**
     * Sends a status event as a server with this identity; returns the status of the response, or 0 if the connection
     * ended without one.
     */
    int sendStatusEventAs(TlsContext identity, String id, String endpoint, String event) throws Exception {
        try (TestClient client = client(identity)) {
            var answer = client.exchange(TestClient.statusEventRequest(id, endpoint, event));
            return answer == null ? 0 : answer.status();
        } catch (IOException ended) {
            return 0;
        }
    }

    /** Returns a handler that accepts each job and sends these status events with this identity. */
    TestServer.ResponseHandler acceptAndReportAs(TlsContext identity, String endpoint, String... events) {
        return request -> {
            String id = request.headers().get("X-Txn");
            olivechute.net.Threads.start("news", () -> {
                try (TestClient client = client(identity)) {
                    for (String event : events) {
                        client.exchange(TestClient.statusEventRequest(id, endpoint, event));
                    }
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            return ACCEPTED;
        };
    }

    /** Starts a server of this name that completes every job. */
    TestServer secureWorker(String name, String result) throws Exception {
        TlsContext identity = workloadContext("/sign-worker/" + name);
        return secureServer(identity, acceptAndReportAs(identity, name, "\"state\":\"started\"", doneEvent(result)));
    }

    /** Starts a node with these settings. */
    void startSecure(String settingsTemplate, String... knownEndpoints) throws IOException {
        discovery = startServer(r -> endpointListResponse(1, false));
        Path file = writeConfig(discovery, 1024, knownEndpoints);
        Files.writeString(file, Files.readString(file).replace("\"deadline\":5", "\"deadline\":" + deadlineSeconds));
        settings = Files.writeString(
                Files.createTempFile("olivechute", ".conf"),
                settingsTemplate
                        .replace("SOURCE", "source { folder = \"" + folder + "\", poll = 50ms }")
                        .replace("EXTRA", ""));
        node = new Node(
                NodeConfig.load(Map.of("LB_CONFIG", file.toString(), "OLIVECHUTE_SETTINGS", settings.toString())),
                this::now);
        Files.delete(file);
    }
}
