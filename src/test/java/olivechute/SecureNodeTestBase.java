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

/** A node with identities, its documents in a folder, and parties that speak TLS by the platform's own sockets. */
abstract class SecureNodeTestBase extends NodeTestBase {
    static final String DOMAIN = "dala.example";
    private static final Duration HOUR = Duration.ofHours(1);
    /** {@code FOLDER} is put in; tests add to it. */
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

    private static boolean warmedUp; // a node of this process has shaken hands on both sides

    Instant startTime;
    volatile Duration clockOffset; // by which the node's clock for identities is off the system's
    CertificateAuthority root;
    volatile TrustBundles bundles; // of all parties but the node
    Path folder;
    TrustDirectory nodeTrustDirectory;
    Path settings;
    int deadlineSeconds; // s, of all classes

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
        warmedUp();
    }

    /**
     * A process's first handshakes load and compile what they need, which on a busy machine takes longer than a host
     * has to accept a job. That is the virtual machine's time and no test's subject: a node of its own spends it on
     * jobs that may fail, until one is done.
     */
    private void warmedUp() throws Exception {
        if (warmedUp) {
            return;
        }
        startSecure(SETTINGS, endpointEntry("s0", secureWorker("s0", "warm"), "active", 0));
        for (int i = 0; i < 10 && !warmedUp; i++) {
            warmedUp = statusAndBody(client("/client/acme").exchange(TestClient.jobRequest("sign", "warm" + i, 5000)))
                    .equals("200 warm");
        }
        assertTrue(warmedUp, "not one of ten jobs was done");
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

    /** Judges others by these bundles. */
    TlsContext context(CertificateAuthority.Issued issued, Supplier<TrustBundles> trusted) {
        return new TlsContext(issued.chain(), issued.key(), false, trusted, this::now);
    }

    /** A workload that holds for an hour. */
    TlsContext workloadContext(String path) throws Exception {
        return context(issue(path, HOUR));
    }

    void trust(CertificateAuthority... authorities) throws IOException {
        List<X509Certificate> all =
                Stream.of(authorities).map(CertificateAuthority::certificate).toList();
        bundles = TrustBundles.EMPTY.with(new TrustBundle(DOMAIN, all, Map.of()));
        nodeTrustDirectory.bundle(all);
    }

    /** A host in TLS under this identity. */
    TestServer secureServer(TlsContext identity, TestServer.ResponseHandler answer) throws IOException {
        TestServer peer = new TestServer(answer, tlsWrapper(identity));
        resources.add(peer);
        return peer;
    }

    /** TLS under this identity; who dials must show one. */
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

    /** Tells of a job as a host under this identity would; the status of each answer, 0 for an end without one. */
    int sendStatusEventAs(TlsContext identity, String id, String endpoint, String event) throws Exception {
        try (TestClient client = client(identity)) {
            var answer = client.exchange(TestClient.statusEventRequest(id, endpoint, event));
            return answer == null ? 0 : answer.status();
        } catch (IOException ended) {
            return 0;
        }
    }

    /** A host's answer: takes a job and tells of it under this identity. */
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

    /** A host of this name that does every job. */
    TestServer secureWorker(String name, String result) throws Exception {
        TlsContext identity = workloadContext("/sign-worker/" + name);
        return secureServer(identity, acceptAndReportAs(identity, name, "\"state\":\"started\"", doneEvent(result)));
    }

    /** Starts a node under these settings. */
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
