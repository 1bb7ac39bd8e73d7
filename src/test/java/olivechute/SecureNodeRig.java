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
abstract class SecureNodeRig extends NodeRig {
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

    private static boolean warm; // a node of this process has shaken hands on both sides

    Instant start;
    volatile Duration step; // by which the node's clock for identities is off the system's
    CertificateAuthority root;
    volatile TrustBundles bundles; // of all parties but the node
    Path folder;
    TrustDirectory own;
    Path settings;
    int deadline; // s, of all classes

    @BeforeMethod
    public void setUpTrust() throws Exception {
        step = Duration.ZERO;
        deadline = 5;
        start = Instant.now();
        root = authority();
        bundles = TrustBundles.EMPTY.with(root.bundle());
        folder = Files.createTempDirectory("svid");
        own = new TrustDirectory(folder).svid(issue("/node", HOUR)).bundle(List.of(root.certificate()));
        warm();
    }

    /**
     * A process's first handshakes load and compile what they need, which on a busy machine takes longer than a host
     * has to accept a job. That is the virtual machine's time and no test's subject: a node of its own spends it on
     * jobs that may fail, until one is done.
     */
    private void warm() throws Exception {
        if (warm) {
            return;
        }
        startSecure(SETTINGS, entry("s0", worker("s0", "warm"), "active", 0));
        for (int i = 0; i < 10 && !warm; i++) {
            warm = text(client("/client/acme").call(Client.job("sign", "warm" + i, 5000)))
                    .equals("200 warm");
        }
        assertTrue(warm, "not one of ten jobs was done");
        closeParties();
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
        return Instant.now().plus(step);
    }

    CertificateAuthority authority() {
        return CertificateAuthority.root(DOMAIN, start.minus(HOUR), start.plus(HOUR.multipliedBy(4)));
    }

    CertificateAuthority.Issued issue(String path, Duration life) throws Exception {
        return issue(root, path, life);
    }

    CertificateAuthority.Issued issue(CertificateAuthority by, String path, Duration life) throws Exception {
        return by.issue(SpiffeId.parse("spiffe://" + DOMAIN + path), start.minusSeconds(60), now().plus(life));
    }

    TlsContext context(CertificateAuthority.Issued issued) {
        return context(issued, () -> bundles);
    }

    /** Judges others by these bundles. */
    TlsContext context(CertificateAuthority.Issued issued, Supplier<TrustBundles> trusted) {
        return new TlsContext(issued.chain(), issued.key(), false, trusted, this::now);
    }

    /** A workload that holds for an hour. */
    TlsContext workload(String path) throws Exception {
        return context(issue(path, HOUR));
    }

    void trust(CertificateAuthority... authorities) throws IOException {
        List<X509Certificate> all =
                Stream.of(authorities).map(CertificateAuthority::certificate).toList();
        bundles = TrustBundles.EMPTY.with(new TrustBundle(DOMAIN, all, Map.of()));
        own.bundle(all);
    }

    /** A host in TLS under this identity. */
    Peer host(TlsContext identity, Peer.Answer answer) throws IOException {
        Peer peer = new Peer(answer, tls(identity));
        parties.add(peer);
        return peer;
    }

    /** TLS under this identity; who dials must show one. */
    static Peer.Layer tls(TlsContext identity) {
        return accepted -> {
            SSLSocket socket =
                    (SSLSocket) identity.sslContext().getSocketFactory().createSocket(accepted, (InputStream) null, true);
            socket.setNeedClientAuth(true);
            return socket;
        };
    }

    Peer host(String name, Peer.Answer answer) throws Exception {
        return host(workload("/sign-worker/" + name), answer);
    }

    Client client(TlsContext identity) throws IOException {
        Client client =
                new Client(node.address(), identity.sslContext().getSocketFactory().createSocket());
        parties.add(client);
        return client;
    }

    Client client(String path) throws Exception {
        return client(workload(path));
    }

    /** Tells of a job as a host under this identity would; the status of each answer, 0 for an end without one. */
    int tellAs(TlsContext identity, String id, String from, String rest) throws Exception {
        try (Client client = client(identity)) {
            var answer = client.call(Client.news(id, from, rest));
            return answer == null ? 0 : answer.status();
        } catch (IOException ended) {
            return 0;
        }
    }

    /** A host's answer: takes a job and tells of it under this identity. */
    Peer.Answer signs(TlsContext identity, String from, String... news) {
        return request -> {
            String id = request.headers().get("X-Txn");
            olivechute.net.Threads.start("news", () -> {
                try (Client client = client(identity)) {
                    for (String rest : news) {
                        client.call(Client.news(id, from, rest));
                    }
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            return ACCEPTED;
        };
    }

    /** A host of this name that does every job. */
    Peer worker(String name, String result) throws Exception {
        TlsContext identity = workload("/sign-worker/" + name);
        return host(identity, signs(identity, name, "\"state\":\"started\"", done(result)));
    }

    /** Starts a node under these settings. */
    void startSecure(String text, String... known) throws IOException {
        discovery = peer(r -> list(1, false));
        Path file = config(discovery, 1024, known);
        Files.writeString(file, Files.readString(file).replace("\"deadline\":5", "\"deadline\":" + deadline));
        settings = Files.writeString(
                Files.createTempFile("olivechute", ".conf"),
                text.replace("SOURCE", "source { folder = \"" + folder + "\", poll = 50ms }")
                        .replace("EXTRA", ""));
        node = new Node(
                NodeConfig.load(Map.of("LB_CONFIG", file.toString(), "OLIVECHUTE_SETTINGS", settings.toString())),
                this::now);
        Files.delete(file);
    }
}
