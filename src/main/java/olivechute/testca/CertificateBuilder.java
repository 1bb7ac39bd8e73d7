package olivechute.testca;

import java.io.IOException;
import java.math.BigInteger;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.ExtendedKeyUsage;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.asn1.x509.GeneralSubtree;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.asn1.x509.NameConstraints;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** Builds and signs certificates of any content, including invalid ones for tests. */
final class CertificateBuilder {
    private static final SecureRandom RANDOM = new SecureRandom();

    private CertificateBuilder() {}

    /** The issuer's name, its key and the signature algorithm. */
    record Signer(X500Name name, PrivateKey key, String algorithm) {}

    /**
     * The content of a certificate. {@code usage} holds the bits of {@link KeyUsage}, 0 for none; {@code extended} may
     * be null; {@code permitted} is the URI host to which the name constraints restrict certificates below, null for no
     * constraint.
     */
    record Content(
            String subject,
            KeyPair keys,
            List<String> uris,
            boolean ca,
            int usage,
            List<KeyPurposeId> extended,
            Instant notBefore,
            Instant notAfter,
            String permitted) {
        Content uris(String... other) {
            return new Content(subject, keys, List.of(other), ca, usage, extended, notBefore, notAfter, permitted);
        }

        Content ca(boolean other) {
            return new Content(subject, keys, uris, other, usage, extended, notBefore, notAfter, permitted);
        }

        Content usage(int other) {
            return new Content(subject, keys, uris, ca, other, extended, notBefore, notAfter, permitted);
        }

        Content extended(List<KeyPurposeId> other) {
            return new Content(subject, keys, uris, ca, usage, other, notBefore, notAfter, permitted);
        }

        Content time(Instant otherFrom, Instant otherTo) {
            return new Content(subject, keys, uris, ca, usage, extended, otherFrom, otherTo, permitted);
        }

        Content keys(KeyPair other) {
            return new Content(subject, other, uris, ca, usage, extended, notBefore, notAfter, permitted);
        }

        Content permitted(String host) {
            return new Content(subject, keys, uris, ca, usage, extended, notBefore, notAfter, host);
        }
    }

    /** Generates a key pair on the curve P-256. */
    static KeyPair newEcKeyPair() {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(new ECGenParameterSpec("secp256r1"), RANDOM);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    static KeyPair newRsaKeyPair(int bits) {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("RSA");
            generator.initialize(bits, RANDOM);
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    static X509Certificate sign(Content content, Signer signer) {
        try {
            X509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                    signer.name,
                    new BigInteger(96, RANDOM),
                    Date.from(content.notBefore),
                    Date.from(content.notAfter),
                    new X500Name(content.subject),
                    content.keys.getPublic());
            builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(content.ca));
            if (content.usage != 0) {
                builder.addExtension(Extension.keyUsage, true, new KeyUsage(content.usage));
            }
            if (content.extended != null) {
                builder.addExtension(
                        Extension.extendedKeyUsage,
                        false,
                        new ExtendedKeyUsage(content.extended.toArray(KeyPurposeId[]::new)));
            }
            if (!content.uris.isEmpty()) {
                builder.addExtension(
                        Extension.subjectAlternativeName,
                        false,
                        new GeneralNames(content.uris.stream()
                                .map(uri -> new GeneralName(GeneralName.uniformResourceIdentifier, uri))
                                .toArray(GeneralName[]::new)));
            }
            if (content.permitted != null) {
                GeneralName host = new GeneralName(GeneralName.uniformResourceIdentifier, content.permitted);
                builder.addExtension(
                        Extension.nameConstraints,
                        true,
                        new NameConstraints(new GeneralSubtree[] {new GeneralSubtree(host)}, null));
            }
            return new JcaX509CertificateConverter()
                    .getCertificate(builder.build(new JcaContentSignerBuilder(signer.algorithm).build(signer.key)));
        } catch (IOException | GeneralSecurityException | OperatorCreationException e) {
            throw new IllegalStateException(e);
        }
    }
}
