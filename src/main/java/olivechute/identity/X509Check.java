package olivechute.identity;

import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.InvalidAlgorithmParameterException;
import java.security.PublicKey;
import java.security.cert.CertPath;
import java.security.cert.CertPathValidator;
import java.security.cert.CertPathValidatorException;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.CertificateParsingException;
import java.security.cert.PKIXParameters;
import java.security.cert.TrustAnchor;
import java.security.cert.X509CertSelector;
import java.security.cert.X509Certificate;
import java.security.interfaces.ECPublicKey;
import java.security.interfaces.EdECPublicKey;
import java.security.interfaces.RSAPublicKey;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Date;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import olivechute.identity.IdentityRejectedException.Reason;

/** Validates a certificate chain by the X509-SVID standard, at a given time and against the given trust bundles. */
public final class X509Check {
    /**
     * Longer chains are rejected before any certificate is checked, as an unauthenticated peer could otherwise cause
     * work with each certificate.
     */
    private static final int MAX_CHAIN_LENGTH = 6;

    private static final int MIN_RSA_BITS = 2048;
    private static final int MIN_EC_BITS = 256;
    private static final int GENERAL_NAME_URI = 6; // tag of a URI in a GeneralName, RFC 5280
    private static final int DIGITAL_SIGNATURE = 0; // bit positions in the key usage, RFC 5280, as the next two
    private static final int KEY_CERT_SIGN = 5;
    private static final int CRL_SIGN = 6;
    private static final String NAME_CONSTRAINTS_OID = "2.5.29.30";
    private static final String SERVER_AUTH_OID = "1.3.6.1.5.5.7.3.1";
    private static final String CLIENT_AUTH_OID = "1.3.6.1.5.5.7.3.2";

    private X509Check() {}

    /**
     * Returns the identity of a chain, given leaf first; throws an {@link IdentityRejectedException} with the reason if
     * it is not valid.
     */
    public static X509Svid check(List<X509Certificate> chain, TrustBundles bundles, Instant now)
            throws IdentityRejectedException {
        if (chain.isEmpty()) {
            throw new IdentityRejectedException(Reason.UNREADABLE, "the chain has no certificate");
        }
        if (chain.size() > MAX_CHAIN_LENGTH) {
            throw new IdentityRejectedException(
                    Reason.TOO_LARGE, chain.size() + " certificates, " + MAX_CHAIN_LENGTH + " at most");
        }
        X509Certificate leaf = chain.get(0);
        SpiffeId id = leafId(leaf);
        checkLeafUsage(leaf);
        for (X509Certificate certificate : chain) {
            checkStrength(certificate);
        }
        for (X509Certificate signer : chain.subList(1, chain.size())) {
            checkSigner(signer, id);
        }
        for (X509Certificate certificate : chain) {
            checkNamesAsValidated(certificate);
        }
        Instant expiry = checkLifetime(chain, now);
        TrustBundle bundle = bundles.bundleFor(id);
        checkPath(chain, bundle, now);
        return new X509Svid(id, List.copyOf(chain), expiry);
    }

    /** Returns the single SPIFFE ID of a leaf without checking its validity. */
    public static SpiffeId leafId(X509Certificate leaf) throws IdentityRejectedException {
        List<String> ids = UriNames.of(leaf);
        if (ids.size() != 1) {
            throw new IdentityRejectedException(
                    Reason.NOT_ONE_ID, ids.size() + " URIs in the subject alternative names, exactly one is required");
        }
        SpiffeId id = SpiffeId.parse(ids.get(0));
        if (!id.isWorkload()) {
            throw new IdentityRejectedException(Reason.BAD_ID, "a leaf must name a workload: its ID has no path");
        }
        return id;
    }

    /**
     * Rejects a certificate whose URIs the JDK reads differently: its path validator would apply the name constraints
     * of an authority to other names than those that were checked, or to none.
     */
    private static void checkNamesAsValidated(X509Certificate certificate) throws IdentityRejectedException {
        List<String> validated = new ArrayList<>();
        try {
            Collection<List<?>> names = certificate.getSubjectAlternativeNames();
            for (List<?> name : names == null ? List.<List<?>>of() : names) {
                if (name.get(0).equals(GENERAL_NAME_URI)) {
                    validated.add((String) name.get(1));
                }
            }
        } catch (CertificateParsingException e) {
            throw new IdentityRejectedException(Reason.UNREADABLE, "subject alternative names: " + e.getMessage());
        }
        if (!validated.equals(UriNames.of(certificate))) {
            throw new IdentityRejectedException(
                    Reason.UNREADABLE, "subject alternative names: a name that the path validation cannot read");
        }
    }

    private static void checkLeafUsage(X509Certificate leaf) throws IdentityRejectedException {
        boolean[] usage = leaf.getKeyUsage();
        if (leaf.getBasicConstraints() >= 0 || (usage != null && (usage[KEY_CERT_SIGN] || usage[CRL_SIGN]))) {
            throw new IdentityRejectedException(
                    Reason.SIGNER_AS_LEAF, "a certificate that may sign others is not a workload's leaf");
        }
        if (usage == null || !usage[DIGITAL_SIGNATURE]) {
            throw new IdentityRejectedException(Reason.WRONG_USAGE, "the key usage does not allow digital signatures");
        }
        List<String> extended = extendedUsage(leaf);
        if (extended != null && !(extended.contains(SERVER_AUTH_OID) && extended.contains(CLIENT_AUTH_OID))) {
            throw new IdentityRejectedException(
                    Reason.WRONG_USAGE, "extended key usage without both server and client authentication");
        }
    }

    private static List<String> extendedUsage(X509Certificate leaf) throws IdentityRejectedException {
        try {
            return leaf.getExtendedKeyUsage();
        } catch (CertificateParsingException e) {
            throw new IdentityRejectedException(Reason.UNREADABLE, "extended key usage: " + e.getMessage());
        }
    }

    private static void checkSigner(X509Certificate signer, SpiffeId leafId) throws IdentityRejectedException {
        boolean[] usage = signer.getKeyUsage();
        if (signer.getBasicConstraints() < 0 || usage == null || !usage[KEY_CERT_SIGN]) {
            throw new IdentityRejectedException(Reason.UNFIT_SIGNER, "an intermediate certificate that may not sign");
        }
        List<String> ids = UriNames.of(signer);
        if (ids.size() > 1) {
            throw new IdentityRejectedException(Reason.UNFIT_SIGNER, "a signing certificate with several URIs");
        }
        if (ids.size() == 1) {
            SpiffeId id = SpiffeId.parse(ids.get(0));
            if (id.isWorkload() || !id.trustDomain().equals(leafId.trustDomain())) {
                throw new IdentityRejectedException(Reason.UNFIT_SIGNER, "a signing certificate of " + id);
            }
        }
    }

    private static void checkStrength(X509Certificate certificate) throws IdentityRejectedException {
        PublicKey key = certificate.getPublicKey();
        boolean strongKey = (key instanceof RSAPublicKey rsa && rsa.getModulus().bitLength() >= MIN_RSA_BITS)
                || (key instanceof ECPublicKey ec && ec.getParams().getOrder().bitLength() >= MIN_EC_BITS)
                || key instanceof EdECPublicKey;
        if (!strongKey) {
            throw new IdentityRejectedException(
                    Reason.WEAK, "a key of algorithm " + key.getAlgorithm() + " that is too short or not supported");
        }
        String algorithm = certificate.getSigAlgName().toUpperCase(Locale.ROOT);
        if (algorithm.contains("SHA1") || algorithm.contains("MD5") || algorithm.contains("MD2")) {
            throw new IdentityRejectedException(Reason.WEAK, "signed with " + certificate.getSigAlgName());
        }
    }

    /** Returns the earliest expiry in the chain; every certificate must be valid at {@code now}. */
    private static Instant checkLifetime(List<X509Certificate> chain, Instant now) throws IdentityRejectedException {
        Instant earliestExpiry = Instant.MAX;
        for (X509Certificate certificate : chain) {
            Instant notBefore = certificate.getNotBefore().toInstant();
            Instant notAfter = certificate.getNotAfter().toInstant();
            if (now.isBefore(notBefore)) {
                throw new IdentityRejectedException(Reason.NOT_YET, "valid from " + notBefore + ", it is " + now);
            }
            if (now.isAfter(notAfter)) {
                throw new IdentityRejectedException(Reason.EXPIRED, "expired at " + notAfter + ", it is " + now);
            }
            earliestExpiry = notAfter.isBefore(earliestExpiry) ? notAfter : earliestExpiry;
        }
        return earliestExpiry;
    }

    /**
     * Returns true if the chain satisfies the authority's own name constraints. The JDK's path validator does not
     * accept a trust anchor with name constraints, but {@link X509CertSelector} evaluates them.
     */
    private static boolean satisfiesNameConstraints(X509Certificate authority, List<X509Certificate> chain)
            throws IdentityRejectedException {
        byte[] wrapped = authority.getExtensionValue(NAME_CONSTRAINTS_OID);
        if (wrapped == null) {
            return true;
        }
        // DER: a tag byte, then the length, either in one byte or in as many further bytes as the low 7 bits of that
        // byte give.
        int extraLengthBytes = wrapped[1] >= 0 ? 0 : wrapped[1] & 0x7f;
        X509CertSelector selector = new X509CertSelector();
        try {
            selector.setNameConstraints(Arrays.copyOfRange(wrapped, 2 + extraLengthBytes, wrapped.length));
        } catch (IOException e) {
            throw new IdentityRejectedException(
                    Reason.NOT_VOUCHED, "the name constraints of an authority cannot be parsed");
        }
        return chain.stream().allMatch(selector::match);
    }

    private static void checkPath(List<X509Certificate> chain, TrustBundle bundle, Instant now)
            throws IdentityRejectedException {
        Set<TrustAnchor> anchors = new HashSet<>();
        for (X509Certificate authority : bundle.authorities()) {
            boolean validNow = !now.isBefore(authority.getNotBefore().toInstant())
                    && !now.isAfter(authority.getNotAfter().toInstant());
            if (validNow && authority.getBasicConstraints() >= 0 && satisfiesNameConstraints(authority, chain)) {
                anchors.add(new TrustAnchor(authority, null));
            }
        }
        if (anchors.isEmpty()) {
            throw new IdentityRejectedException(
                    Reason.NOT_VOUCHED,
                    "the bundle of " + bundle.trustDomain()
                            + " has no currently valid authority whose name constraints allow this chain");
        }
        try {
            PKIXParameters parameters = new PKIXParameters(anchors);
            parameters.setRevocationEnabled(false); // SVIDs are short-lived instead of being revoked
            parameters.setDate(Date.from(now));
            CertPath path = CertificateFactory.getInstance("X.509").generateCertPath(chain);
            CertPathValidator.getInstance("PKIX").validate(path, parameters);
        } catch (CertPathValidatorException | InvalidAlgorithmParameterException | CertificateException e) {
            throw new IdentityRejectedException(
                    Reason.NOT_VOUCHED, "bundle of " + bundle.trustDomain() + ": " + e.getMessage());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("PKIX is not available on this platform", e);
        }
    }
}
