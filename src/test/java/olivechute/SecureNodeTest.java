package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.identity.TrustBundles;
import olivechute.testca.CertificateAuthority;
import olivechute.testca.ForgedIdentity;
import olivechute.tls.TlsContext;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests identities on real sockets: which peers are accepted and connected to, and what happens when identities expire
 * or change.
 */
public class SecureNodeTest extends SecureNodeTestBase {
    private static final Duration HOUR = Duration.ofHours(1);
    private static final int HOSTS = 220;
    private static final int JOBS = 200;
    private static final int BATCH_SIZE = 2;

    // ---- authorization --------------------------------------------------------------------------------------

    @Test
    public void jobSucceedsWithIdentitiesOnBothSides() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        TestClient client = client("/client/acme");
        for (int i = 0; i < 3; i++) {
            assertEquals(statusAndBody(client.exchange(TestClient.jobRequest("sign", "t" + i, 5000))), "200 signed");
        }
        assertEquals(host.requests().get(0).headers().get("Idempotency-Key"), "key-t0");
        await(() -> host.received.size() == 3);
        assertTrue(host.connectionCount.get() <= 3, host.connectionCount.get() + " connections");
    }

    @Test
    public void clientOfAnotherTenantGets403AndNothingIsForwarded() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        assertEquals(
                client("/client/bolt")
                        .exchange(TestClient.jobRequest("sign", "t1", 5000))
                        .status(),
                403);
        assertEquals(
                client("/sign-worker/s1")
                        .exchange(TestClient.jobRequest("sign", "t2", 5000))
                        .status(),
                403);
        assertEquals(host.requests().size(), 0);
    }

    @Test
    public void identityWithoutRuleIsDisconnected() throws Exception {
        startSecure(SETTINGS, endpointEntry("s1", secureWorker("s1", "signed"), "active", 0));
        assertEquals(sendStatusEventAs(workloadContext("/stranger"), "t1", "s1", doneEvent("x")), 0);
    }

    /** No byte of the job was written, so even a job that may not be repeated is sent to another server. */
    @Test
    public void serverWithWrongIdentityIsAConnectFailure() throws Exception {
        TestServer thief = secureServer("s7", r -> ACCEPTED);
        startSecure(
                SETTINGS,
                endpointEntry("s1", secureWorker("s1", "signed"), "active", 0),
                endpointEntry("s2", thief, "active", 0));
        TestClient client = client("/client/acme");
        for (int i = 0; i < 3; i++) {
            assertEquals(statusAndBody(client.exchange(TestClient.jobRequest("pay", "t" + i, 5000))), "200 signed");
        }
        assertEquals(thief.requests().size(), 0);
        assertTrue(thief.connectionCount.get() > 0);
    }

    @Test
    public void statusEventsAreAcceptedOnlyFromTheIdentityOfTheJobsServer() throws Exception {
        TlsContext right = workloadContext("/sign-worker/s1");
        TlsContext wrong = workloadContext("/sign-worker/s2");
        AtomicInteger refused = new AtomicInteger();
        TestServer host = secureServer(right, r -> {
            if (refused.get() > 0) {
                return null; // a cancellation, as this test takes long to accept the job
            }
            String id = r.headers().get("X-Txn");
            assertEquals(sendStatusEventAs(wrong, id, "s1", doneEvent("forged")), 403);
            assertEquals(sendStatusEventAs(workloadContext("/client/acme"), id, "s1", doneEvent("forged")), 403);
            assertEquals(
                    sendStatusEventAs(wrong, id, "s2", doneEvent("forged")),
                    204); // its own endpoint name, but not its job
            refused.incrementAndGet();
            assertEquals(sendStatusEventAs(right, id, "s1", doneEvent("signed")), 204);
            return ACCEPTED;
        });
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        assertEquals(
                statusAndBody(client("/client/acme").exchange(TestClient.jobRequest("sign", "t1", 5000))),
                "200 signed");
        assertEquals(refused.get(), 1);
    }

    @Test
    public void reloadedRulesApplyToOpenConnections() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        TestClient client = client("/client/acme");
        assertEquals(client.exchange(TestClient.jobRequest("sign", "t1", 5000)).status(), 200);
        java.nio.file.Files.writeString(
                settings,
                SETTINGS.replace("SOURCE", "source { folder = \"" + folder + "\", poll = 50ms }")
                        .replace("EXTRA", "")
                        .replace("tenants = [acme]", "tenants = [other]"));
        java.nio.file.Path file = writeConfig(discovery, 1024);
        node.reload(olivechute.config.NodeConfig.reload(
                Map.of("LB_CONFIG", file.toString(), "OLIVECHUTE_SETTINGS", settings.toString())));
        java.nio.file.Files.delete(file);
        assertEquals(client.exchange(TestClient.jobRequest("sign", "t2", 5000)).status(), 403);
    }

    // ---- failed handshakes ----------------------------------------------------------------------------------

    @DataProvider
    public Object[][] invalidHandshakes() {
        return new Object[][] {
            {"GET /health/ready HTTP/1.1\r\n\r\n"},
            {"\u0016\u0003\u0001"},
            {""},
            {"\u0016\u0003\u0001\u0000\u0005hello"}
        };
    }

    /**
     * Plain text, half a handshake, silence and invalid bytes: the connection is closed in time, with at most a TLS
     * alert.
     */
    @Test(dataProvider = "invalidHandshakes")
    public void nonTlsConnectionIsClosedInTime(String said) throws Exception {
        startSecure(SETTINGS, endpointEntry("s1", secureWorker("s1", "signed"), "active", 0));
        try (Socket socket = new Socket()) {
            socket.connect(node.address(), 1000);
            socket.setSoTimeout(4000);
            long before = System.nanoTime();
            socket.getOutputStream().write(said.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            int n = 0;
            try {
                n = socket.getInputStream().readAllBytes().length;
            } catch (java.net.SocketException reset) {
                n = 0;
            }
            assertTrue(n <= 7, n + " bytes back");
            assertTrue(System.nanoTime() - before < 3_000_000_000L);
        }
    }

    @Test
    public void forgedIdentitiesAreRejectedOnBothSides() throws Exception {
        List<TestServer> forgers = new ArrayList<>();
        List<String> known = new ArrayList<>();
        TestServer honest = secureWorker("s1", "signed");
        known.add(endpointEntry("s1", honest, "active", 0));
        ForgedIdentity[] kinds = {
            ForgedIdentity.SELF_SIGNED,
            ForgedIdentity.OTHER_ROOT_SAME_NAME,
            ForgedIdentity.TWO_URIS,
            ForgedIdentity.EXPIRED,
            ForgedIdentity.SERVER_ONLY
        };
        for (ForgedIdentity kind : List.of(
                ForgedIdentity.SELF_SIGNED,
                ForgedIdentity.TWO_URIS)) { // two forgers: the third attempt reaches the honest server
            TlsContext forged = context(kind.make(new ForgedIdentity.ForgeryContext(DOMAIN, root, startTime)));
            TestServer forger = secureServer(forged, r -> ACCEPTED);
            forgers.add(forger);
            known.add(endpointEntry("s2" + kind.ordinal(), forger, "active", 0));
        }
        startSecure(SETTINGS, known.toArray(new String[0]));
        for (ForgedIdentity kind : kinds) {
            assertEquals(
                    sendStatusEventAs(
                            context(kind.make(new ForgedIdentity.ForgeryContext(DOMAIN, root, startTime))),
                            "t",
                            "s1",
                            doneEvent("x")),
                    0,
                    kind.name());
        }
        TestClient client = client("/client/acme");
        for (int i = 0; i < 12; i++) {
            assertEquals(statusAndBody(client.exchange(TestClient.jobRequest("sign", "t" + i, 5000))), "200 signed");
        }
        assertEquals(forgers.stream().mapToInt(f -> f.requests().size()).sum(), 0);
    }

    /**
     * The server accepts the connection and sends nothing: this counts as a failed connect within the dial timeout,
     * long before the job's deadline.
     */
    @Test
    public void missingHandshakeIsAConnectFailure() throws Exception {
        TestServer silent = startServer(r -> null);
        startSecure(
                SETTINGS,
                endpointEntry("s1", secureWorker("s1", "signed"), "active", 0),
                endpointEntry("s2", silent, "active", 0));
        assertEquals(
                statusAndBody(client("/client/acme").exchange(TestClient.jobRequest("pay", "t1", 950))), "200 signed");
        assertTrue(silent.connectionCount.get() > 0);
    }

    @Test
    public void handshakeHasItsOwnTimeout() throws Exception {
        startSecure(SETTINGS.replace("EXTRA", "tls { downstream_handshake = 200ms }"));
        assertTrue(awaitCloseNanos(1_500) >= 150_000_000L);
    }

    /** Returns the time in ns until the node closes a silent connection; fails after {@code millis} ms. */
    private long awaitCloseNanos(int millis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(node.address(), 1000);
            socket.setSoTimeout(millis);
            long before = System.nanoTime();
            assertEquals(socket.getInputStream().read(), -1);
            return System.nanoTime() - before;
        }
    }

    // ---- expiry ---------------------------------------------------------------------------------------------

    /**
     * A client's identity expires during its job: the job completes with its one response, and no new request is
     * accepted afterwards.
     */
    @Test
    public void openJobSurvivesIdentityExpiryAndTheNextIsRejected() throws Exception {
        TlsContext old = context(issue("/sign-worker/s1", Duration.ofSeconds(30)));
        TlsContext renewed = workloadContext("/sign-worker/s1");
        TestServer host = secureServer(old, r -> ACCEPTED);
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        TestClient client = client(context(issue("/client/acme", Duration.ofSeconds(30))));
        client.send(TestClient.jobRequest("sign", "t1", 5000));
        await(() -> host.received.size() == 1);
        assertEquals(sendStatusEventAs(old, "t1", "s1", "\"state\":\"started\""), 204);
        TestClient kept = client(old);
        assertEquals(
                kept.exchange(TestClient.statusEventRequest("t1", "s1", "\"state\":\"running\",\"share\":0.2"))
                        .status(),
                204);
        clockOffset = Duration.ofSeconds(31);
        assertTrue(isRejectedOn(kept, TestClient.statusEventRequest("t1", "s1", doneEvent("by an old identity"))));
        assertEquals(sendStatusEventAs(old, "t1", "s1", doneEvent("by an old identity")), 0);
        assertEquals(sendStatusEventAs(renewed, "t1", "s1", doneEvent("signed")), 204);
        assertEquals(statusAndBody(client.receive()), "200 signed");
        assertTrue(isRejectedOn(client, TestClient.jobRequest("sign", "t2", 5000)));
        assertEquals(host.requests().size(), 1);
    }

    /** Returns true if the connection accepts no more requests: it ends, or answers 403 and then ends. */
    private static boolean isRejectedOn(TestClient client, byte[] message) throws Exception {
        try {
            HttpResponse answer = client.exchange(message);
            return answer == null || (answer.status() == 403 && client.isClosedByServer());
        } catch (IOException ended) {
            return true;
        }
    }

    /**
     * The node's own identity is not renewed in time: open jobs complete, no new connection is made, and service
     * resumes once it is renewed.
     */
    @Test
    public void expiredNodeIdentityStopsNewConnectionsUntilRenewal() throws Exception {
        nodeTrustDirectory.svid(issue("/node", Duration.ofSeconds(30)));
        TlsContext worker = workloadContext("/sign-worker/s1");
        TestServer host = secureServer(worker, r -> ACCEPTED);
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        TestClient client = client("/client/acme").send(TestClient.jobRequest("sign", "t1", 5000));
        await(() -> host.received.size() == 1);
        TestClient news = client(worker);
        assertEquals(
                news.exchange(TestClient.statusEventRequest("t1", "s1", "\"state\":\"started\""))
                        .status(),
                204);
        clockOffset = Duration.ofSeconds(31);
        assertEquals(sendStatusEventAs(worker, "t1", "s1", doneEvent("signed")), 0);
        awaitCloseNanos(1_500); // closed at once: there is no handshake to wait for
        nodeTrustDirectory.svid(issue("/node", HOUR));
        await(() -> isEventAccepted(worker, "t1", doneEvent("signed")));
        assertEquals(statusAndBody(client.receive()), "200 signed");
        host.handler = acceptAndReportAs(worker, "s1", doneEvent("again"));
        assertEquals(
                statusAndBody(client("/client/acme").exchange(TestClient.jobRequest("sign", "t2", 5000))), "200 again");
    }

    private boolean isEventAccepted(TlsContext identity, String id, String rest) {
        try {
            return sendStatusEventAs(identity, id, "s1", rest) == 204;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * The clock steps forward and back: identities that were invalid for a while are valid again, and no rejection is
     * cached.
     */
    @Test
    public void clockStepsLeaveNoLastingEffect() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        TlsContext acme = workloadContext("/client/acme");
        assertEquals(statusAndBody(client(acme).exchange(TestClient.jobRequest("sign", "t1", 5000))), "200 signed");
        clockOffset = Duration.ofDays(1);
        assertEquals(sendStatusEventAs(acme, "x", "s1", doneEvent("x")), 0);
        clockOffset = Duration.ofDays(-1);
        assertEquals(sendStatusEventAs(acme, "x", "s1", doneEvent("x")), 0);
        clockOffset = Duration.ZERO;
        assertEquals(statusAndBody(client(acme).exchange(TestClient.jobRequest("sign", "t2", 5000))), "200 signed");
    }

    @Test
    public void serverReplacedUnderAnotherIdentityGetsNoRequests() throws Exception {
        TestServer first = secureWorker("s1", "signed");
        startSecure(SETTINGS, endpointEntry("s1", first, "active", 0));
        TestClient client = client("/client/acme");
        assertEquals(statusAndBody(client.exchange(TestClient.jobRequest("pay", "t1", 5000))), "200 signed");
        TestServer second = first.replaceWith(r -> ACCEPTED, tlsWrapper(workloadContext("/sign-worker/s9")));
        resources.add(second);
        // If the first job took long, its server counts as overloaded and gets no request for a second.
        for (int i = 2; i < 12 && second.connectionCount.get() == 0; i++) {
            assertEquals(
                    client.exchange(TestClient.jobRequest("pay", "t" + i, 2500)).status(), 503);
        }
        assertEquals(second.requests().size(), 0);
        assertTrue(second.connectionCount.get() > 0);
    }

    /** Data pipelined behind a request is read over TLS too, so that a disconnect is detected there promptly. */
    @Test
    public void disconnectWithPipelinedRequestsIsDetected() throws Exception {
        TestServer host =
                secureServer("s1", r -> r.method().equals("POST") ? ACCEPTED : MessageWriter.response(204, null, true));
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        TestClient client = client("/client/acme")
                .send(TestClient.jobRequest("sign", "t1", 5000))
                .send(TestClient.jobRequest("sign", "t2", 5000));
        awaitRequests(host, 1);
        long from = System.nanoTime();
        client.close();
        await(() -> node.unansweredRequests() == 0);
        assertTrue(System.nanoTime() - from < 1_000_000_000L);
        Thread.sleep(150);
        assertEquals(
                host.requests().stream().filter(r -> r.method().equals("POST")).count(), 1);
    }

    // ---- rotation under load --------------------------------------------------------------------------------

    /**
     * With 200 jobs in flight the trust bundle is rotated to a second authority, all identities are reissued by it, and
     * the first authority is withdrawn: no job is lost, none runs twice, and no new request uses a connection that was
     * authenticated by the withdrawn authority.
     */
    @Test
    public void jobsInFlightSurviveAuthorityRotation() throws Exception {
        CertificateAuthority first = root;
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger runs = new AtomicInteger();
        Set<String> started = ConcurrentHashMap.newKeySet();
        BlockingQueue<Integer> reportStatuses = new LinkedBlockingQueue<>();
        TlsContext[] worker = {workloadContext("/sign-worker/pool")};
        List<String> known = new ArrayList<>();
        // More servers than jobs, as an endpoint without any response yet gets one job at a time.
        for (int h = 0; h < HOSTS; h++) {
            String name = "s" + h;
            known.add(endpointEntry(
                    name,
                    secureServer(worker[0], r -> {
                        runs.incrementAndGet();
                        String id = r.headers().get("X-Txn");
                        olivechute.net.Threads.start(
                                "job", () -> reportJob(worker, name, id, started, release, reportStatuses));
                        return ACCEPTED;
                    }),
                    "active",
                    0));
        }
        deadlineSeconds = 50;
        startSecure(
                SETTINGS.replace("EXTRA", "tls { downstream_handshake = 20s, handshakes_at_once = 16 }")
                        .replace("/{host}", "/pool"),
                known.toArray(new String[0]));
        TlsContext acme = workloadContext("/client/acme");
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            clients.add(client(acme).send(TestClient.jobRequest("sign", "t" + i, 50_000)));
            int sent = i + 1;
            // Each job takes three handshakes, one of them within the time to accept the job.
            if (sent % BATCH_SIZE == 0) {
                await(() -> started.size() == sent);
            }
        }
        CertificateAuthority second = authority();
        trust(first, second);
        root = second;
        nodeTrustDirectory.svid(issue("/node", HOUR));
        worker[0] = workloadContext("/sign-worker/pool");
        TrustBundles onlySecond = TrustBundles.EMPTY.with(second.bundle());
        TlsContext withoutFirst = context(issue("/client/acme", HOUR), () -> onlySecond);
        // The directory is polled, and a node that has the new bundle may still present its old certificate, which
        // servers that report a job would not accept once the first authority is withdrawn.
        await(() -> accepts(withoutFirst));
        trust(second);
        await(() -> !accepts(acme));
        release.countDown();
        for (int i = 0; i < JOBS; i++) {
            assertEquals(reportStatuses.poll(20, TimeUnit.SECONDS), Integer.valueOf(204));
        }
        for (int i = 0; i < JOBS; i++) {
            assertEquals(statusAndBody(clients.get(i).receive()), "200 t" + i);
            assertTrue(isRejectedOn(clients.get(i), TestClient.jobRequest("sign", "late" + i, 5000)));
        }
        assertEquals(runs.get(), JOBS);
    }

    private void reportJob(
            TlsContext[] identity,
            String from,
            String id,
            Set<String> started,
            CountDownLatch release,
            BlockingQueue<Integer> reportStatuses) {
        String ends = "\"state\":\"done\",\"result\":\"" + id + "\",\"load\":{\"x0\":64,\"depth\":0}";
        try (TestClient before = client(identity[0])) {
            assertEquals(
                    before.exchange(TestClient.statusEventRequest(id, from, "\"state\":\"started\""))
                            .status(),
                    204);
            started.add(id);
            release.await(50, TimeUnit.SECONDS);
            reportStatuses.add(sendStatusEventAs(identity[0], id, from, ends));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean accepts(TlsContext identity) {
        try (TestClient client = client(identity)) {
            return client.exchange(TestClient.jobRequest("nothing", "x", 100)) != null;
        } catch (Exception refused) {
            return false;
        }
    }

    /** Invalid or missing files in the directory do not invalidate the last valid identity before it expires. */
    @Test
    public void invalidFilesLeaveTheLastIdentityValid() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        startSecure(SETTINGS, endpointEntry("s1", host, "active", 0));
        TlsContext acme = workloadContext("/client/acme");
        java.nio.file.Files.writeString(folder.resolve("svid.pem"), "rubbish");
        java.nio.file.Files.delete(folder.resolve("bundle.pem"));
        Thread.sleep(150); // three polls of the source
        assertEquals(statusAndBody(client(acme).exchange(TestClient.jobRequest("sign", "t1", 5000))), "200 signed");
        assertNull(node.tlsAddress());
    }
}
