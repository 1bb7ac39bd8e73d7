package olivechute.testca;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.IdentityRejectedException.Reason;
import olivechute.identity.SpiffeId;
import olivechute.identity.SvidManager;
import olivechute.identity.SvidManager.OfferResult;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Offers of an SVID source: a valid offer is active at once, an invalid one changes nothing. */
public class SvidManagerTest {
    private static final Instant NOW = Instant.parse("2026-12-01T12:00:00Z");
    private static final Duration HOUR = Duration.ofHours(1);
    private static final String DOMAIN = "dala.example";

    private CertificateAuthority root;
    private SvidManager manager;

    @BeforeMethod
    public void setUp() throws Exception {
        root = CertificateAuthority.root(DOMAIN, NOW.minus(HOUR), NOW.plus(HOUR));
        manager = new SvidManager(DOMAIN);
    }

    private CertificateAuthority.Issued issue(CertificateAuthority authority, Instant to)
            throws IdentityRejectedException {
        return authority.issue(SpiffeId.parse("spiffe://" + DOMAIN + "/node"), NOW.minusSeconds(60), to);
    }

    private OfferResult offer(CertificateAuthority.Issued issued, CertificateAuthority authority, Instant now)
            throws IdentityRejectedException, IOException {
        return manager.offer(
                PemWriter.text(issued.chain()),
                PemWriter.text(issued.key()),
                PemWriter.text(List.of(authority.certificate())),
                now);
    }

    @Test
    public void renewedSvidAppliesAtOnceAndRepeatedOfferIsUnchanged() throws Exception {
        assertNull(manager.state().own());
        assertFalse(manager.state().hasValidIdentity(NOW));
        CertificateAuthority.Issued first = issue(root, NOW.plusSeconds(30));
        assertEquals(offer(first, root, NOW), OfferResult.APPLIED);
        assertEquals(offer(first, root, NOW), OfferResult.UNCHANGED);
        assertTrue(manager.state().hasValidIdentity(NOW.plusSeconds(30)));
        assertFalse(manager.state().hasValidIdentity(NOW.plusSeconds(31)));
        assertEquals(offer(issue(root, NOW.plusSeconds(90)), root, NOW), OfferResult.APPLIED);
        assertTrue(manager.state().hasValidIdentity(NOW.plusSeconds(31)));
        assertFalse(manager.state().own().toString().contains("PRIVATE"));
    }

    @Test
    public void invalidOfferKeepsTheLastValidSvid() throws Exception {
        CertificateAuthority.Issued good = issue(root, NOW.plusSeconds(30));
        offer(good, root, NOW);
        SvidManager.State before = manager.state();
        CertificateAuthority otherAuthority = CertificateAuthority.root(DOMAIN, NOW.minus(HOUR), NOW.plus(HOUR));
        String chain = PemWriter.text(good.chain());
        String key = PemWriter.text(good.key());
        String bundle = PemWriter.text(List.of(root.certificate()));
        assertRejected(Reason.UNREADABLE, "", key, bundle);
        assertRejected(Reason.UNREADABLE, chain.substring(0, chain.length() / 2), key, bundle);
        assertRejected(Reason.UNREADABLE, chain, "", bundle);
        assertRejected(Reason.UNREADABLE, chain, key.replace("PRIVATE", "PUBLIC"), bundle);
        assertRejected(
                Reason.UNREADABLE,
                chain,
                PemWriter.text(issue(root, NOW.plusSeconds(9)).key()),
                bundle);
        assertRejected(
                Reason.UNREADABLE,
                chain,
                PemWriter.text(CertificateBuilder.newRsaKeyPair(2048).getPrivate()),
                bundle);
        assertRejected(Reason.UNREADABLE, chain, key, "rubbish");
        assertRejected(Reason.NOT_VOUCHED, chain, key, PemWriter.text(List.of(otherAuthority.certificate())));
        assertRejected(
                Reason.EXPIRED, PemWriter.text(issue(root, NOW.minusSeconds(1)).chain()), key, bundle);
        assertSame(manager.state(), before);
        assertTrue(manager.state().hasValidIdentity(NOW.plusSeconds(29)));
    }

    private void assertRejected(Reason reason, String chain, String key, String bundle) {
        assertEquals(
                expectThrows(IdentityRejectedException.class, () -> manager.offer(chain, key, bundle, NOW))
                        .reason(),
                reason);
    }

    @Test
    public void svidOfAnotherTrustDomainIsRejected() throws Exception {
        CertificateAuthority other = CertificateAuthority.root("other.example", NOW.minus(HOUR), NOW.plus(HOUR));
        manager.federate("other.example", PemWriter.text(List.of(other.certificate())));
        assertEquals(
                manager.federate("other.example", PemWriter.text(List.of(other.certificate()))), OfferResult.UNCHANGED);
        CertificateAuthority.Issued theirs =
                other.issue(SpiffeId.parse("spiffe://other.example/node"), NOW, NOW.plusSeconds(9));
        assertEquals(
                expectThrows(IdentityRejectedException.class, () -> offer(theirs, root, NOW))
                        .reason(),
                Reason.BAD_ID);
        assertNull(manager.state().own());
    }

    /**
     * Rotation of an authority: the bundle first holds both authorities, then only the new one, with an SVID that it
     * signed.
     */
    @Test
    public void bundleRotationAcceptsBothAuthoritiesDuringOverlap() throws Exception {
        CertificateAuthority next = CertificateAuthority.root(DOMAIN, NOW.minus(HOUR), NOW.plus(HOUR));
        CertificateAuthority.Issued old = issue(root, NOW.plusSeconds(30));
        offer(old, root, NOW);
        String both = PemWriter.text(List.of(root.certificate(), next.certificate()));
        assertEquals(
                manager.offer(PemWriter.text(old.chain()), PemWriter.text(old.key()), both, NOW), OfferResult.APPLIED);
        assertEquals(offer(issue(next, NOW.plusSeconds(60)), next, NOW), OfferResult.APPLIED);
        assertEquals(
                expectThrows(IdentityRejectedException.class, () -> offer(old, next, NOW))
                        .reason(),
                Reason.NOT_VOUCHED);
    }
}
