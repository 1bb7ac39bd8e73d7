package olivechute.testca;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.IdentityRejectedException.Reason;
import olivechute.identity.SpiffeId;
import olivechute.identity.TrustBundle;
import olivechute.identity.TrustBundles;
import olivechute.identity.X509Check;
import olivechute.identity.X509Svid;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Valid certificate chains are accepted, and each forged one is rejected for its own reason and no other. */
public class ForgeryTest {
    private static final Instant NOW = Instant.parse("2026-12-01T12:00:00Z");
    private static final Duration HOUR = Duration.ofHours(1);
    private static final String DOMAIN = "dala.example";

    private CertificateAuthority root;
    private CertificateAuthority federated;
    private TrustBundles bundles;

    @BeforeClass
    public void setUp() {
        root = CertificateAuthority.root(DOMAIN, NOW.minus(HOUR), NOW.plus(HOUR));
        federated = CertificateAuthority.root("federated.example", NOW.minus(HOUR), NOW.plus(HOUR));
        bundles = TrustBundles.EMPTY.with(root.bundle()).with(federated.bundle());
    }

    private X509Svid check(CertificateAuthority.Issued issued, TrustBundles bundles, Instant now)
            throws IdentityRejectedException {
        return X509Check.check(issued.chain(), bundles, now);
    }

    private Reason rejectionReason(CertificateAuthority.Issued issued, TrustBundles bundles, Instant now) {
        return expectThrows(IdentityRejectedException.class, () -> check(issued, bundles, now))
                .reason();
    }

    @DataProvider
    public Object[][] forgeries() {
        Object[][] all = new Object[ForgedIdentity.values().length][];
        for (ForgedIdentity f : ForgedIdentity.values()) {
            all[f.ordinal()] = new Object[] {f};
        }
        return all;
    }

    @Test(dataProvider = "forgeries")
    public void forgedCertificateIsRejectedWithItsReason(ForgedIdentity forgery) {
        IdentityRejectedException refused = expectThrows(
                IdentityRejectedException.class,
                () -> check(forgery.make(new ForgedIdentity.ForgeryContext(DOMAIN, root, NOW)), bundles, NOW));
        assertEquals(refused.reason(), forgery.reason(), refused.getMessage());
        assertTrue(refused.getMessage()
                .startsWith(refused.reason().name().toLowerCase(Locale.ROOT).replace('_', '-') + ": "));
    }

    /** A URI that the JDK may leave out, as it is too long, counts as one more beside the valid one. */
    @Test
    public void overlongUriBesideAValidOneIsRejected() throws Exception {
        SpiffeId id = SpiffeId.parse("spiffe://" + DOMAIN + "/w");
        String overlong = "spiffe://" + "d".repeat(256) + "/w";
        for (String[] uris : new String[][] {{id.toString(), overlong}, {overlong, id.toString()}}) {
            CertificateAuthority.Issued issued =
                    root.issue(CertificateAuthority.leafContent(id.toString(), NOW.minus(HOUR), NOW.plus(HOUR))
                            .uris(uris));
            assertEquals(rejectionReason(issued, bundles, NOW), Reason.NOT_ONE_ID);
        }
    }

    @Test
    public void validChainHoldsUntilItsEarliestExpiry() throws Exception {
        SpiffeId id = SpiffeId.parse("spiffe://" + DOMAIN + "/sign-worker/s-1");
        CertificateAuthority between = root.intermediate(NOW.minus(HOUR), NOW.plusSeconds(90));
        X509Svid svid = check(between.issue(id, NOW.minusSeconds(10), NOW.plusSeconds(600)), bundles, NOW);
        assertEquals(svid.id(), id);
        assertEquals(svid.notAfter(), NOW.plusSeconds(90));
        assertEquals(
                check(root.issue(id, NOW, NOW.plusSeconds(5)), bundles, NOW.plusSeconds(5))
                        .id(),
                id);
        SpiffeId theirs = SpiffeId.parse("spiffe://federated.example/w");
        assertEquals(
                check(federated.issue(theirs, NOW, NOW.plusSeconds(5)), bundles, NOW)
                        .id(),
                theirs);
    }

    /**
     * A chain is rejected only for violating the name constraints of its intermediate: the same chain within the
     * constraints is accepted.
     */
    @Test
    public void intermediateNameConstraintsAreEnforced() throws Exception {
        java.security.KeyPair keys = CertificateBuilder.newEcKeyPair();
        for (String host : new String[] {DOMAIN, "elsewhere.example"}) {
            CertificateAuthority between = root.subordinate(
                    keys,
                    CertificateAuthority.authorityContent(DOMAIN, "between", keys, NOW.minus(HOUR), NOW.plus(HOUR))
                            .permitted(host));
            CertificateAuthority.Issued issued =
                    between.issue(SpiffeId.parse("spiffe://" + DOMAIN + "/w"), NOW, NOW.plusSeconds(9));
            if (host.equals(DOMAIN)) {
                assertEquals(check(issued, bundles, NOW).id().path(), "/w");
            } else {
                assertEquals(rejectionReason(issued, bundles, NOW), Reason.NOT_VOUCHED);
            }
        }
    }

    /** The JDK's path validator ignores the name constraints of a trust anchor; {@link X509Check} must enforce them. */
    @Test
    public void rootNameConstraintsAreEnforced() throws Exception {
        for (String host : new String[] {DOMAIN, "elsewhere.example"}) {
            CertificateAuthority own = CertificateAuthority.root(
                    DOMAIN,
                    CertificateAuthority.authorityContent(
                                    DOMAIN, "root", CertificateBuilder.newEcKeyPair(), NOW.minus(HOUR), NOW.plus(HOUR))
                            .permitted(host));
            CertificateAuthority.Issued issued =
                    own.issue(SpiffeId.parse("spiffe://" + DOMAIN + "/w"), NOW, NOW.plusSeconds(9));
            TrustBundles held = TrustBundles.EMPTY.with(own.bundle());
            if (host.equals(DOMAIN)) {
                assertEquals(check(issued, held, NOW).id().path(), "/w");
            } else {
                assertEquals(rejectionReason(issued, held, NOW), Reason.NOT_VOUCHED);
            }
        }
    }

    /** A clock step or a changed bundle takes effect at the next check: no result is cached between checks. */
    @Test
    public void eachCheckUsesCurrentTimeAndBundles() throws Exception {
        SpiffeId id = SpiffeId.parse("spiffe://" + DOMAIN + "/w");
        CertificateAuthority.Issued issued = root.issue(id, NOW.minusSeconds(10), NOW.plusSeconds(10));
        assertEquals(check(issued, bundles, NOW).id(), id);
        assertEquals(rejectionReason(issued, bundles, NOW.plusSeconds(11)), Reason.EXPIRED);
        assertEquals(rejectionReason(issued, bundles, NOW.minusSeconds(11)), Reason.NOT_YET);
        assertEquals(rejectionReason(issued, bundles.without(DOMAIN), NOW), Reason.UNKNOWN_DOMAIN);
        CertificateAuthority next = CertificateAuthority.root(DOMAIN, NOW.minus(HOUR), NOW.plus(HOUR));
        TrustBundle overlap =
                new TrustBundle(DOMAIN, java.util.List.of(root.certificate(), next.certificate()), java.util.Map.of());
        assertEquals(check(issued, bundles.with(overlap), NOW).id(), id);
        assertEquals(
                check(next.issue(id, NOW, NOW.plusSeconds(10)), bundles.with(overlap), NOW)
                        .id(),
                id);
        assertEquals(rejectionReason(issued, bundles.with(next.bundle()), NOW), Reason.NOT_VOUCHED);
    }

    /** An expired root must not verify any chain; the JDK does not check the validity period of a trust anchor. */
    @Test
    public void expiredAuthorityIsNotATrustAnchor() throws Exception {
        CertificateAuthority old = CertificateAuthority.root(DOMAIN, NOW.minus(HOUR), NOW.minusSeconds(1));
        CertificateAuthority.Issued issued =
                old.issue(SpiffeId.parse("spiffe://" + DOMAIN + "/w"), NOW.minusSeconds(10), NOW.plusSeconds(10));
        assertEquals(rejectionReason(issued, TrustBundles.EMPTY.with(old.bundle()), NOW), Reason.NOT_VOUCHED);
        TrustBundle none = new TrustBundle(DOMAIN, java.util.List.of(), java.util.Map.of());
        assertEquals(rejectionReason(issued, TrustBundles.EMPTY.with(none), NOW), Reason.NOT_VOUCHED);
    }
}
