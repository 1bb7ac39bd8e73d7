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
 * Holds the active identity and trust bundles, replaced by the offers of an SVID source. An invalid offer changes
 * nothing: the last valid identity stays active until it expires, so that an agent that writes invalid data, or stops
 * writing, does not interrupt service earlier. Does no I/O. Offers must come from one thread; the state may be read
 * from any.
 */
public final class SvidManager {
    private final String trustDomain;
    private volatile State state = new State(null, TrustBundles.EMPTY);

    /** The active identity, null if there is none, and the trust bundles that were offered with it. */
    public record State(OwnIdentity own, TrustBundles bundles) {
        /** Returns true if there is an identity and it has not expired at this time. */
        public boolean hasValidIdentity(Instant now) {
            return own != null && !now.isAfter(own.svid().notAfter());
        }
    }

    /** The result of an offer. */
    public enum OfferResult {
        /** The offer is active from now on. */
        APPLIED,
        /** The same identity and bundles were active already. */
        UNCHANGED
    }

    /** Creates a manager for a workload of this trust domain, without an identity yet. */
    public SvidManager(String trustDomain) throws IdentityRejectedException {
        this.trustDomain = SpiffeId.trustDomain(trustDomain);
    }

    /** Returns the active identity and bundles; the identity may have expired. */
    public State state() {
        return state;
    }

    /**
     * An offer of an SVID source: the node's certificate chain, leaf first, the leaf's private key, and all trust
     * bundles that replace the current ones.
     */
    public record Offer(List<X509Certificate> chain, PrivateKey key, List<TrustBundle> bundles) {}

    /**
     * Applies a certificate chain, its key and the authorities of its trust domain, all as PEM, if they are valid
     * together at this time; otherwise throws an {@link IdentityRejectedException} and changes nothing. The bundles of
     * other trust domains stay.
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
     * Applies an offer as a whole if it is valid at this time; otherwise throws an {@link IdentityRejectedException}
     * and changes nothing.
     */
    public OfferResult offer(Offer offer, Instant now) throws IdentityRejectedException {
        State previous = state;
        TrustBundles bundles = TrustBundles.EMPTY;
        for (TrustBundle bundle : offer.bundles) {
            bundles = bundles.with(bundle);
        }
        X509Svid svid = X509Check.check(offer.chain, bundles, now);
        if (!svid.id().trustDomain().equals(trustDomain)) {
            throw new IdentityRejectedException(
                    Reason.BAD_ID, svid.id() + " does not belong to trust domain " + trustDomain);
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

    /** Replaces the authorities, as PEM, of a federated trust domain. */
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

    /**
     * Checks that the key belongs to the leaf by signing and verifying once; a key of another certificate would fail at
     * each handshake.
     */
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
                throw new IdentityRejectedException(Reason.UNREADABLE, "the key does not belong to the certificate");
            }
        } catch (GeneralSecurityException e) {
            throw new IdentityRejectedException(
                    Reason.UNREADABLE, "the key does not belong to the certificate: " + e.getMessage());
        }
    }
}
