package olivechute.identity;

import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import olivechute.identity.IdentityRejectedException.Reason;

/**
 * Which identity and which bundles are in force, out of what a source offers from time to time. What does not hold
 * changes nothing: the last that did stays until it expires, so that a helper which writes rubbish, or nothing any
 * more, ends no service before its time. Does no I/O; offers come from one thread, questions from any.
 */
public final class SvidManager {
    private final String trustDomain;
    private volatile State state = new State(null, TrustBundles.EMPTY);

    /** Both at one moment: an identity goes with the bundles that it came with. */
    public record State(OwnIdentity own, TrustBundles bundles) {
        /** True if there is an identity, and it holds at this moment. */
        public boolean hasValidIdentity(Instant now) {
            return own != null && !now.isAfter(own.svid().notAfter());
        }
    }

    /** What became of an offer. */
    public enum OfferResult {
        /** In force from now on. */
        APPLIED,
        /** In force already. */
        UNCHANGED
    }

    /** For the identity of a workload of this trust domain. */
    public SvidManager(String trustDomain) throws IdentityRejectedException {
        this.trustDomain = SpiffeId.trustDomain(trustDomain);
    }

    /** What is in force, whether it still holds or not. */
    public State state() {
        return state;
    }

    /**
     * What a source offers: our document, its leaf first, the leaf's key, and all bundles to judge others by from then
     * on.
     */
    public record Offer(List<X509Certificate> chain, PrivateKey key, List<TrustBundle> bundles) {}

    /**
     * Takes a document, its key and the authorities of its trust domain, all as PEM, if they hold together at this
     * moment; a {@link IdentityRejectedException} says why they do not, and leaves all as it was. What is held of other
     * domains stays.
     */
    public OfferResult offer(String chain, String key, String authorities, Instant now)
            throws IdentityRejectedException {
        List<X509Certificate> certificates = PemReader.certificates(chain);
        TrustBundles bundles =
                state.bundles.with(new TrustBundle(trustDomain, PemReader.certificates(authorities), Map.of()));
        PrivateKey own = PemReader.key(key, certificates.get(0).getPublicKey().getAlgorithm());
        return offer(new Offer(certificates, own, List.copyOf(bundles.all())), now);
    }

    /**
     * Takes an offer as a whole, if it holds together at this moment; a {@link IdentityRejectedException} leaves all as
     * it was.
     */
    public OfferResult offer(Offer offer, Instant now) throws IdentityRejectedException {
        State previous = state;
        TrustBundles bundles = TrustBundles.EMPTY;
        for (TrustBundle bundle : offer.bundles) {
            bundles = bundles.with(bundle);
        }
        X509Svid svid = X509Check.check(offer.chain, bundles, now);
        if (!svid.id().trustDomain().equals(trustDomain)) {
            throw new IdentityRejectedException(Reason.BAD_ID, svid.id() + " is not of trust domain " + trustDomain);
        }
        checkKeyMatches(offer.key, offer.chain.get(0));
        boolean sameIdentity = previous.own != null
                && previous.own.svid().equals(svid)
                && previous.own.key().equals(offer.key);
        if (sameIdentity && sameBundles(previous.bundles, bundles)) {
            return OfferResult.UNCHANGED;
        }
        state = new State(sameIdentity ? previous.own : new OwnIdentity(svid, offer.key), bundles);
        return OfferResult.APPLIED;
    }

    /** Takes the authorities of a trust domain that ours is federated with. */
    public OfferResult federate(String domain, String authorities) throws IdentityRejectedException {
        TrustBundles bundles = state.bundles.with(
                new TrustBundle(SpiffeId.trustDomain(domain), PemReader.certificates(authorities), Map.of()));
        if (sameBundles(state.bundles, bundles)) {
            return OfferResult.UNCHANGED;
        }
        state = new State(state.own, bundles);
        return OfferResult.APPLIED;
    }

    private static boolean sameBundles(TrustBundles one, TrustBundles other) {
        return java.util.Set.copyOf(one.all()).equals(java.util.Set.copyOf(other.all()));
    }

    /** Signs and verifies once: a key of another document would fail at each handshake. */
    private static void checkKeyMatches(PrivateKey key, X509Certificate leaf) throws IdentityRejectedException {
        String algorithm =
                switch (key.getAlgorithm()) {
                    case "EC" -> "SHA256withECDSA";
                    case "RSA" -> "SHA256withRSA";
                    default -> key.getAlgorithm();
                };
        try {
            Signature signature = Signature.getInstance(algorithm);
            signature.initSign(key);
            signature.update((byte) 1);
            byte[] signed = signature.sign();
            signature.initVerify(leaf.getPublicKey());
            signature.update((byte) 1);
            if (!signature.verify(signed)) {
                throw new IdentityRejectedException(Reason.UNREADABLE, "the key is not that of the document");
            }
        } catch (GeneralSecurityException e) {
            throw new IdentityRejectedException(
                    Reason.UNREADABLE, "the key is not that of the document: " + e.getMessage());
        }
    }
}
