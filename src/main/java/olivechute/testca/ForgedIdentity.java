package olivechute.testca;

import java.security.KeyPair;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import olivechute.identity.IdentityRejectedException.Reason;
import olivechute.testca.CertificateAuthority.Issued;
import olivechute.testca.CertificateBuilder.Content;
import olivechute.testca.CertificateBuilder.Signer;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;

/**
 * Invalid certificate chains that must be rejected, each for one reason. They claim identities in the trust domain of a
 * {@link ForgeryContext}.
 */
@SuppressWarnings("ImmutableEnumChecker") // the functions are stateless
public enum ForgedIdentity {
    SELF_SIGNED(Reason.NOT_VOUCHED, g -> selfSigned(g.leaf())),
    OTHER_ROOT_SAME_NAME(
            Reason.NOT_VOUCHED,
            g -> CertificateAuthority.root(g.domain, g.from, g.to).issue(g.leaf())),
    DOMAIN_OF_ANOTHER(Reason.NOT_VOUCHED, g -> g.root.issue(g.leaf().uris("spiffe://federated.example/w"))),
    UNKNOWN_DOMAIN(Reason.UNKNOWN_DOMAIN, g -> g.root.issue(g.leaf().uris("spiffe://nowhere.example/w"))),
    NO_URI(Reason.NOT_ONE_ID, g -> g.root.issue(g.leaf().uris(new String[0]))),
    TWO_URIS(Reason.NOT_ONE_ID, g -> g.root.issue(g.leaf().uris(g.id, g.id + "2"))),
    SAME_URI_TWICE(Reason.NOT_ONE_ID, g -> g.root.issue(g.leaf().uris(g.id, g.id))),
    SIGNER_AS_LEAF(Reason.SIGNER_AS_LEAF, g -> g.root.issue(g.leaf().ca(true))),
    LEAF_MAY_SIGN(
            Reason.SIGNER_AS_LEAF, g -> g.root.issue(g.leaf().usage(KeyUsage.digitalSignature | KeyUsage.keyCertSign))),
    LEAF_MAY_SIGN_LISTS(
            Reason.SIGNER_AS_LEAF, g -> g.root.issue(g.leaf().usage(KeyUsage.digitalSignature | KeyUsage.cRLSign))),
    NO_USAGE(Reason.WRONG_USAGE, g -> g.root.issue(g.leaf().usage(0))),
    NO_SIGNATURES(Reason.WRONG_USAGE, g -> g.root.issue(g.leaf().usage(KeyUsage.keyEncipherment))),
    SERVER_ONLY(Reason.WRONG_USAGE, g -> g.root.issue(g.leaf().extended(List.of(KeyPurposeId.id_kp_serverAuth)))),
    MAIL_ONLY(Reason.WRONG_USAGE, g -> g.root.issue(g.leaf().extended(List.of(KeyPurposeId.id_kp_emailProtection)))),
    EXPIRED(Reason.EXPIRED, g -> g.root.issue(g.leaf().time(g.from, g.now.minusSeconds(1)))),
    NOT_YET(Reason.NOT_YET, g -> g.root.issue(g.leaf().time(g.now.plusSeconds(60), g.to))),
    EXPIRED_INTERMEDIATE(
            Reason.EXPIRED,
            g -> g.root.intermediate(g.from, g.now.minusSeconds(1)).issue(g.leaf())),
    UPPER_CASE_DOMAIN(
            Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://" + g.domain.toUpperCase(Locale.ROOT) + "/w"))),
    UPPER_CASE_SCHEME(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("SPIFFE://" + g.domain + "/w"))),
    OTHER_SCHEME(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("https://" + g.domain + "/w"))),
    DOT_SEGMENT(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://" + g.domain + "/a/../w"))),
    EMPTY_SEGMENT(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://" + g.domain + "//w"))),
    TRAILING_SLASH(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris(g.id + "/"))),
    PERCENT_CODED(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://" + g.domain + "/%77"))),
    QUERY(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris(g.id + "?x=y"))),
    PORT(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://" + g.domain + ":443/w"))),
    USER(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://me@" + g.domain + "/w"))),
    NO_PATH(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://" + g.domain))),
    OVER_LONG(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris(g.id + "x".repeat(2048)))),
    LONG_DOMAIN(Reason.BAD_ID, g -> g.root.issue(g.leaf().uris("spiffe://" + "d".repeat(256) + "/w"))),
    LEAF_AS_INTERMEDIATE(Reason.UNFIT_SIGNER, g -> {
        Issued issuer = g.root.issue(g.leaf());
        List<X509Certificate> chain = new ArrayList<>(List.of(CertificateBuilder.sign(g.leaf(), signer(issuer))));
        chain.addAll(issuer.chain());
        return new Issued(chain, issuer.key());
    }),
    INTERMEDIATE_WITHOUT_RIGHT(
            Reason.UNFIT_SIGNER,
            g -> g.intermediateWith(c -> c.usage(KeyUsage.digitalSignature)).issue(g.leaf())),
    INTERMEDIATE_WITH_PATH(
            Reason.UNFIT_SIGNER,
            g -> g.intermediateWith(c -> c.uris("spiffe://" + g.domain + "/ca")).issue(g.leaf())),
    INTERMEDIATE_OF_ANOTHER(
            Reason.UNFIT_SIGNER,
            g -> g.intermediateWith(c -> c.uris("spiffe://federated.example")).issue(g.leaf())),
    OUTSIDE_CONSTRAINTS(
            Reason.NOT_VOUCHED,
            g -> g.intermediateWith(c -> c.permitted("elsewhere.example")).issue(g.leaf())),
    MISSING_INTERMEDIATE(Reason.NOT_VOUCHED, g -> {
        Issued complete = g.root.intermediate(g.from, g.to).issue(g.leaf());
        return new Issued(complete.chain().subList(0, 1), complete.key());
    }),
    SHORT_RSA(Reason.WEAK, g -> g.root.issue(g.leaf().keys(CertificateBuilder.newRsaKeyPair(1024)))),
    SIGNED_WITH_SHA1(Reason.WEAK, g -> {
        Signer signer = g.root.signer();
        return g.root.issue(g.leaf(), new Signer(signer.name(), signer.key(), "SHA1withECDSA"));
    }),
    LONG_CHAIN(Reason.TOO_LARGE, g -> {
        CertificateAuthority authority = g.root;
        for (int i = 0; i < 6; i++) { // with the leaf, one certificate more than X509Check accepts
            authority = authority.intermediate(g.from, g.to);
        }
        return authority.issue(g.leaf());
    }),
    EMPTY_CHAIN(Reason.UNREADABLE, g -> new Issued(List.of(), null));

    private interface Factory {
        Issued make(ForgeryContext context);
    }

    private interface ContentChange {
        Content change(Content content);
    }

    /** The trust domain of a forgery: its root, the current time and the ID that forgeries claim. */
    public static final class ForgeryContext {
        private final String domain;
        private final CertificateAuthority root;
        private final Instant now;
        private final Instant from;
        private final Instant to;
        private final String id;

        /** Creates a context with this root of the trust domain at this time. */
        public ForgeryContext(String domain, CertificateAuthority root, Instant now) {
            this.domain = domain;
            this.root = root;
            this.now = now;
            this.from = now.minus(Duration.ofHours(1));
            this.to = now.plus(Duration.ofHours(1));
            this.id = "spiffe://" + domain + "/w";
        }

        private Content leaf() {
            return CertificateAuthority.leafContent(id, from, to);
        }

        private CertificateAuthority intermediateWith(ContentChange change) {
            KeyPair keys = CertificateBuilder.newEcKeyPair();
            return root.subordinate(
                    keys, change.change(CertificateAuthority.authorityContent(domain, "between", keys, from, to)));
        }
    }

    private final Reason reason;
    private final Factory make;

    ForgedIdentity(Reason reason, Factory make) {
        this.reason = reason;
        this.make = make;
    }

    private static Issued selfSigned(Content leaf) {
        Signer own = new Signer(new X500Name(leaf.subject()), leaf.keys().getPrivate(), "SHA256withECDSA");
        return new Issued(
                List.of(CertificateBuilder.sign(leaf, own)), leaf.keys().getPrivate());
    }

    private static Signer signer(Issued issued) {
        return new Signer(
                X500Name.getInstance(
                        issued.chain().get(0).getSubjectX500Principal().getEncoded()),
                issued.key(),
                "SHA256withECDSA");
    }

    /** Returns the reason for which this forgery must be rejected. */
    public Reason reason() {
        return reason;
    }

    /** Creates a forgery of this kind. */
    public Issued make(ForgeryContext context) {
        return make.make(context);
    }
}
