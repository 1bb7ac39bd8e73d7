package olivechute.tls;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Random;
import olivechute.identity.SpiffeId;
import olivechute.identity.TrustBundles;
import olivechute.testca.CertificateAuthority;
import olivechute.testca.ForgedIdentity;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Connects two TLS state machines and transfers their bytes in chunks of random size. */
@SuppressWarnings("IdentityHashMapUsage") // state machines are compared by reference
public class TlsStateMachineTest {
    private static final String DOMAIN = "dala.example";
    private static final Duration HOUR = Duration.ofHours(1);
    private static final long SEED = 41;

    private final Random random = new Random(SEED);
    private final Map<TlsStateMachine, String> receivedText = new IdentityHashMap<>();
    private Instant now;
    private CertificateAuthority root;
    private TrustBundles bundles;

    @BeforeMethod
    public void setUp() {
        now = Instant.now();
        root = CertificateAuthority.root(DOMAIN, now.minus(HOUR), now.plus(HOUR));
        bundles = TrustBundles.EMPTY.with(root.bundle());
    }

    private TlsContext context(CertificateAuthority.Issued own, boolean lenient) {
        return new TlsContext(own.chain(), own.key(), lenient, () -> bundles, () -> now);
    }

    private CertificateAuthority.Issued issue(String path) throws Exception {
        return root.issue(SpiffeId.parse("spiffe://" + DOMAIN + path), now.minusSeconds(60), now.plusSeconds(60));
    }

    /** Transfers the output of each side to the other until neither has any; then throws the first failure, if any. */
    private void exchange(TlsStateMachine one, TlsStateMachine other) throws TlsException {
        TlsException failure = null;
        ByteArrayOutputStream toOne = new ByteArrayOutputStream();
        ByteArrayOutputStream toOther = new ByteArrayOutputStream();
        for (boolean moved = true; moved; ) {
            moved = false;
            for (TlsStateMachine side : new TlsStateMachine[] {one, other}) {
                try {
                    side.advance();
                } catch (TlsException e) {
                    failure = failure == null ? e : failure;
                }
                receivedText.merge(side, text(side.received()), String::concat);
                ByteBuffer output = side.toSend();
                (side == one ? toOther : toOne)
                        .write(output.array(), output.arrayOffset() + output.position(), output.remaining());
            }
            moved |= feed(one, toOne);
            moved |= feed(other, toOther);
        }
        if (failure != null) {
            throw failure;
        }
    }

    private boolean feed(TlsStateMachine side, ByteArrayOutputStream waiting) {
        byte[] all = waiting.toByteArray();
        int n = Math.min(Math.min(all.length, side.receiveBuffer().remaining()), 1 + random.nextInt(3000));
        if (n == 0 || side.closed()) {
            return false;
        }
        side.receiveBuffer().put(all, 0, n);
        waiting.reset();
        waiting.write(all, n, all.length - n);
        return true;
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String text(ByteBuffer received) {
        return StandardCharsets.ISO_8859_1.decode(received).toString();
    }

    @DataProvider
    public Object[][] versions() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "versions")
    public void exchangesDataBetweenAuthenticatedPeers(boolean lenient) throws Exception {
        TlsStateMachine node = context(issue("/node"), lenient).server();
        TlsStateMachine client = context(issue("/client"), lenient).client("node", 1);
        assertFalse(client.isOpen());
        exchange(client, node);
        assertEquals(node.peer().id().path() + client.peer().id().path(), "/client/node");
        String document = "x".repeat(40_000);
        client.send(bytes(document));
        exchange(client, node);
        assertTrue(
                receivedText.get(node).equals(document), receivedText.get(node).length() + " heard, seed " + SEED);
        node.send(bytes("signed"));
        exchange(client, node);
        assertEquals(receivedText.get(client), "signed");
        client.closeOutbound();
        exchange(client, node);
        assertTrue(node.closed());
    }

    /**
     * A resumed session transfers no certificate chain; the peer's identity must still be checked against the current
     * bundles and time.
     */
    @Test
    public void resumedSessionIsCheckedAgainstCurrentBundlesAndTime() throws Exception {
        TlsContext server = context(issue("/node"), false);
        TlsContext dialler = context(issue("/client"), false);
        for (int i = 0; i < 4; i++) {
            TlsStateMachine node = server.server();
            TlsStateMachine client = dialler.client("node", 1);
            exchange(client, node);
            assertEquals(client.peer().id().path(), "/node");
        }
        assertEquals(dialler.chainChecks() + server.chainChecks(), 2, "one full handshake, three resumed");
        now = now.plusSeconds(61);
        TlsStateMachine node = server.server();
        TlsStateMachine client = dialler.client("node", 1);
        String message =
                expectThrows(TlsException.class, () -> exchange(client, node)).getMessage();
        assertTrue(message.startsWith("expired: "), message);
        assertFalse(client.isOpen() || node.isOpen());
    }

    @Test
    public void handshakeFailsAfterAuthorityIsRemoved() throws Exception {
        TlsContext server = context(issue("/node"), false);
        TlsContext dialler = context(issue("/client"), false);
        exchange(dialler.client("node", 1), server.server());
        bundles = TrustBundles.EMPTY.with(CertificateAuthority.root(DOMAIN, now.minus(HOUR), now.plus(HOUR))
                .bundle());
        TlsStateMachine client = dialler.client("node", 1);
        String message = expectThrows(TlsException.class, () -> exchange(client, server.server()))
                .getMessage();
        assertTrue(message.startsWith("not-vouched: "), message);
    }

    @DataProvider
    public Object[][] forgeries() {
        return java.util.Arrays.stream(ForgedIdentity.values())
                .filter(f -> f != ForgedIdentity.EMPTY_CHAIN
                        && f != ForgedIdentity.SHORT_RSA
                        && f != ForgedIdentity.SIGNED_WITH_SHA1) // the JDK does not send these
                .map(f -> new Object[] {f})
                .toArray(Object[][]::new);
    }

    /**
     * A forged identity is rejected on either side: the local exception has the reason, and the forging peer receives
     * an alert but no application data.
     */
    @Test(dataProvider = "forgeries")
    public void forgedIdentityReceivesOnlyAnAlert(ForgedIdentity forgery) throws Exception {
        TlsContext forged = context(forgery.make(new ForgedIdentity.ForgeryContext(DOMAIN, root, now)), false);
        TlsContext honest = context(issue("/node"), false);
        for (boolean accepting : new boolean[] {true, false}) {
            TlsStateMachine victim = accepting ? honest.server() : honest.client("x", 1);
            TlsStateMachine forger = accepting ? forged.client("x", 1) : forged.server();
            expectThrows(TlsException.class, () -> exchange(victim, forger));
            assertNull(victim.peer());
            assertFalse(victim.isOpen());
            assertEquals(receivedText.get(forger), "");
            expectThrows(TlsException.class, () -> victim.send(bytes("secret")));
        }
    }

    @Test
    public void plaintextIsDetectedByItsFirstByte() throws Exception {
        TlsStateMachine node = context(issue("/node"), false).server();
        node.receiveBuffer().put((byte) 'P');
        String message = expectThrows(TlsException.class, node::advance).getMessage();
        assertEquals(message, "not TLS: the first byte is 80");
        assertTrue(node.closed());
        assertEquals(node.toSend().remaining(), 0);
    }

    /**
     * Random bytes after a valid record header end the connection with the declared exception; nothing but alerts is
     * sent.
     */
    @Test
    public void randomBytesOnlyEndTheConnection() throws Exception {
        TlsContext context = context(issue("/node"), false);
        int ended = 0;
        for (int i = 0; i < 300; i++) {
            TlsStateMachine node = context.server();
            byte[] randomBytes = new byte[5 + random.nextInt(400)];
            random.nextBytes(randomBytes);
            randomBytes[0] = 22;
            randomBytes[1] = 3;
            randomBytes[2] = 3;
            randomBytes[3] = 0;
            randomBytes[4] = (byte) random.nextInt(randomBytes.length > 200 ? 127 : randomBytes.length);
            node.receiveBuffer().put(randomBytes);
            try {
                node.advance();
            } catch (TlsException e) {
                ended++;
            }
            assertFalse(node.isOpen());
            assertTrue(node.toSend().remaining() < 64);
        }
        assertTrue(ended > 200, ended + " of 300 ended at once, seed " + SEED);
    }
}
