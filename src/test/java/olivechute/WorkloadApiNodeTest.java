package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.svid.WorkloadApiMessages;
import olivechute.testca.CertificateAuthority;
import olivechute.testca.TokenIssuer;
import olivechute.testca.WorkloadApiResponses;
import olivechute.testca.WorkloadApiServer;
import olivechute.tls.TlsContext;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests a node that receives its identity over an agent's socket (SPIFFE Workload API), and tokens of clients behind a
 * proxy.
 */
public class WorkloadApiNodeTest extends SecureNodeTestBase {
    private static final Duration HOUR = Duration.ofHours(1);
    private static final String JWT = "jwt { audience = \"node\", proxies = [\"spiffe://dala.example/proxy\"] }";

    private final TokenIssuer tokens = new TokenIssuer("k1");
    private WorkloadApiServer agent;
    private Path socket;

    @BeforeMethod
    public void setUpAgent() throws Exception {
        socket = folder.resolve("agent.sock");
        agent = new WorkloadApiServer(socket);
        resources.add(agent);
    }

    private void publish(CertificateAuthority.Issued issued, X509Certificate... authorities) {
        agent.publish(
                WorkloadApiMessages.FETCH_X509,
                WorkloadApiResponses.x509Response(
                        "spiffe://dala.example/node", issued, List.of(authorities), Map.of(), ""));
    }

    private void startWithAgent(String extra, String... known) throws Exception {
        startSecure(
                SETTINGS.replace("SOURCE", "source { kind = workload-api, socket = \"unix:" + socket + "\" }")
                        .replace("EXTRA", extra),
                known);
    }

    private boolean isServed(TlsContext identity, String id) {
        try (TestClient client = client(identity)) {
            HttpResponse answer = client.exchange(TestClient.jobRequest("sign", id, 5000));
            return answer != null && answer.status() == 200;
        } catch (Exception refused) {
            return false;
        }
    }

    /**
     * An identity renewed by the stream applies to the next handshake; a node reconnects to an agent that goes away and
     * comes back.
     */
    @Test
    public void identityIsReceivedAndRenewedByStream() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        TlsContext acme = workloadContext("/client/acme");
        startWithAgent("", endpointEntry("s1", host, "active", 0));
        await(() -> agent.calls() == 1);
        assertEquals(isServed(acme, "early"), false); // the node has no identity, so no handshake succeeds
        publish(issue("/node", Duration.ofSeconds(30)), root.certificate());
        await(() -> isServed(acme, "a" + System.nanoTime()));
        agent.rejectCalls(7);
        agent.closeConnections();
        await(() -> agent.calls() > 1);
        assertTrue(isServed(acme, "b")); // the last identity is still valid
        clockOffset = Duration.ofSeconds(31);
        assertEquals(isServed(acme, "c"), false);
        publish(issue("/node", HOUR), root.certificate());
        agent.rejectCalls(0);
        await(() -> isServed(acme, "d" + System.nanoTime()));
    }

    @Test
    public void invalidAgentResponsesAreIgnored() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        TlsContext acme = workloadContext("/client/acme");
        publish(issue("/node", HOUR), root.certificate());
        startWithAgent("", endpointEntry("s1", host, "active", 0));
        await(() -> isServed(acme, "a" + System.nanoTime()));
        agent.publish(WorkloadApiMessages.FETCH_X509, new byte[] {1, 2, 3});
        agent.publish(WorkloadApiMessages.FETCH_X509, new byte[0]);
        publish(issue("/node", HOUR), authority().certificate());
        agent.publish(
                WorkloadApiMessages.FETCH_X509,
                WorkloadApiResponses.x509Response(
                        "spiffe://other.example/x", issue("/node", HOUR), List.of(root.certificate()), Map.of(), ""));
        assertTrue(isServed(acme, "b"));
    }

    /**
     * Tokens are accepted on a proxy's connection only, verified with the keys from the agent, for the tenant of the
     * identity that they contain.
     */
    @Test
    public void proxiedTokenIdentifiesTheClient() throws Exception {
        TestServer host = secureWorker("s1", "signed");
        publish(issue("/node", HOUR), root.certificate());
        agent.publish(
                WorkloadApiMessages.FETCH_JWT_BUNDLES,
                WorkloadApiResponses.jwtBundlesResponse(Map.of(DOMAIN, tokens.keySet())));
        startWithAgent(JWT, endpointEntry("s1", host, "active", 0));
        TlsContext proxy = workloadContext("/proxy");
        String good = tokens.token("spiffe://dala.example/client/acme", List.of("node"), now().plusSeconds(60));
        await(() -> status(proxy, "t" + System.nanoTime(), good) == 200);
        assertEquals(status(proxy, "t1", good), 200);
        assertEquals(status(proxy, "t2", null), 403);
        assertEquals(
                status(
                        proxy,
                        "t3",
                        tokens.token("spiffe://dala.example/client/bolt", List.of("node"), now().plusSeconds(60))),
                403);
        assertEquals(
                status(
                        proxy,
                        "t4",
                        tokens.token("spiffe://dala.example/client/acme", List.of("else"), now().plusSeconds(60))),
                403);
        assertEquals(
                status(
                        proxy,
                        "t5",
                        new TokenIssuer("k1")
                                .token("spiffe://dala.example/client/acme", List.of("node"), now().plusSeconds(60))),
                403);
        assertEquals(status(workloadContext("/client/bolt"), "t6", good), 403);
        clockOffset = Duration.ofSeconds(61);
        assertEquals(
                status(workloadContext("/proxy"), "t7", good),
                403); // was valid a moment ago, and its verification is cached
    }

    private int status(TlsContext identity, String id, String token) {
        try (TestClient client = client(identity)) {
            HttpResponse answer = client.exchange(MessageWriter.request(
                    "POST",
                    "/verify",
                    "node",
                    new byte[3],
                    "X-Txn",
                    id,
                    "X-Org",
                    "acme",
                    "Authorization",
                    token == null ? null : "Bearer " + token));
            return answer == null ? 0 : answer.status();
        } catch (Exception refused) {
            return -1;
        }
    }

    /** The agent is connected and sends nothing: when a renewal is overdue, the node reconnects to it. */
    @Test
    public void silentAgentIsRedialledWhenRenewalIsDue() throws Exception {
        TlsContext acme = workloadContext("/client/acme");
        TestServer host = secureWorker("s1", "signed");
        publish(issue("/node", Duration.ofSeconds(60)), root.certificate());
        startWithAgent("", endpointEntry("s1", host, "active", 0));
        await(() -> isServed(acme, "a" + System.nanoTime()));
        agent.unresponsive(true);
        publish(issue("/node", HOUR), root.certificate());
        agent.unresponsive(false);
        assertEquals(agent.calls(), 1);
        clockOffset = Duration.ofSeconds(45); // 15 s are left of a lifetime of 120 s
        await(() -> agent.calls() == 2);
        clockOffset = Duration.ofSeconds(90);
        await(() -> isServed(acme, "b" + System.nanoTime()));
    }
}
