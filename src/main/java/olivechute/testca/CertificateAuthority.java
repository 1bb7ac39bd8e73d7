package olivechute.testca;

import java.security.KeyPair;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import olivechute.identity.SpiffeId;
import olivechute.identity.TrustBundle;
import olivechute.testca.CertificateBuilder.Content;
import olivechute.testca.CertificateBuilder.Signer;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;

/** A certificate authority of a trust domain: the root or an intermediate below it. For development and tests. */
public final class CertificateAuthority {
    static final List<KeyPurposeId> SERVER_AND_CLIENT_AUTH =
            List.of(KeyPurposeId.id_kp_serverAuth, KeyPurposeId.id_kp_clientAuth);
    private static final String ALGORITHM = "SHA256withECDSA";

    private final String trustDomain;
    private final KeyPair keys;
    private final X509Certificate certificate;
    /** This authority's certificate and those up to the root, without the root. */
    private final List<X509Certificate> issuerChain;

    private CertificateAuthority(
            String trustDomain, KeyPair keys, X509Certificate certificate, List<X509Certificate> issuerChain) {
        this.trustDomain = trustDomain;
        this.keys = keys;
        this.certificate = certificate;
        this.issuerChain = issuerChain;
    }

    /** An issued SVID: the certificate chain, leaf first and without the root, and the private key of the leaf. */
    public record Issued(List<X509Certificate> chain, PrivateKey key) {}

    /** Creates a root with a new key, valid from {@code from} to {@code to}. */
    public static CertificateAuthority root(String trustDomain, Instant from, Instant to) {
        return root(trustDomain, authorityContent(trustDomain, "root", CertificateBuilder.newEcKeyPair(), from, to));
    }

    static CertificateAuthority root(String trustDomain, Content content) {
        KeyPair keys = content.keys();
        return new CertificateAuthority(
                trustDomain,
                keys,
                CertificateBuilder.sign(
                        content, new Signer(new X500Name(content.subject()), keys.getPrivate(), ALGORITHM)),
                List.of());
    }

    /** Creates an intermediate authority with a new key, signed by this one. */
    public CertificateAuthority intermediate(Instant from, Instant to) {
        KeyPair keyPair = CertificateBuilder.newEcKeyPair();
        return subordinate(keyPair, authorityContent(trustDomain, "intermediate", keyPair, from, to));
    }

    CertificateAuthority subordinate(KeyPair keyPair, Content content) {
        List<X509Certificate> chain = new ArrayList<>(List.of(CertificateBuilder.sign(content, signer())));
        chain.addAll(issuerChain);
        return new CertificateAuthority(trustDomain, keyPair, chain.get(0), List.copyOf(chain));
    }

    static Content authorityContent(String trustDomain, String name, KeyPair keys, Instant from, Instant to) {
        return new Content(
                "O=" + trustDomain + ",CN=" + name,
                keys,
                List.of("spiffe://" + trustDomain),
                true,
                KeyUsage.keyCertSign | KeyUsage.cRLSign,
                null,
                from,
                to,
                null);
    }

    /** The content of a valid workload certificate. */
    static Content leafContent(String id, Instant from, Instant to) {
        return new Content(
                "O=workload",
                CertificateBuilder.newEcKeyPair(),
                List.of(id),
                false,
                KeyUsage.digitalSignature,
                SERVER_AND_CLIENT_AUTH,
                from,
                to,
                null);
    }

    Signer signer() {
        return new Signer(
                X500Name.getInstance(certificate.getSubjectX500Principal().getEncoded()), keys.getPrivate(), ALGORITHM);
    }

    /** Issues an SVID with a new key to a workload. */
    public Issued issue(SpiffeId id, Instant from, Instant to) {
        return issue(leafContent(id.toString(), from, to));
    }

    Issued issue(Content content) {
        return issue(content, signer());
    }

    Issued issue(Content content, Signer signer) {
        List<X509Certificate> chain = new ArrayList<>(List.of(CertificateBuilder.sign(content, signer)));
        chain.addAll(issuerChain);
        return new Issued(List.copyOf(chain), content.keys().getPrivate());
    }

    /** Returns the trust bundle that verifies certificates issued below this authority, if it is the root. */
    public TrustBundle bundle() {
        return new TrustBundle(trustDomain, List.of(certificate), Map.of());
    }

    /** Returns this authority's certificate. */
    public X509Certificate certificate() {
        return certificate;
    }
}
