package olivechute.identity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.nimbusds.jose.JOSEObjectType;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.JWSSigner;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.crypto.MACSigner;
import com.nimbusds.jose.crypto.RSASSASigner;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.PlainJWT;
import com.nimbusds.jwt.SignedJWT;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.interfaces.ECPrivateKey;
import java.security.spec.ECGenParameterSpec;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import java.util.Map;
import olivechute.identity.IdentityRejectedException.Reason;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** JWT-SVID validation: valid tokens are accepted, and each forged one is rejected for its own reason. */
public class JwtCheckTest {
    private static final Instant NOW = Instant.parse("2026-12-01T12:00:00Z");
    private static final String ID = "spiffe://td/client";

    private KeyPair ec;
    private KeyPair rsa;
    private KeyPair shortRsa;
    private TrustBundles bundles;

    @BeforeClass
    public void setUp() throws Exception {
        ec = ec();
        rsa = rsa(2048);
        shortRsa = rsa(1024);
        bundles = TrustBundles.EMPTY
                .with(new TrustBundle(
                        "td", List.of(), Map.of("e", ec.getPublic(), "r", rsa.getPublic(), "s", shortRsa.getPublic())))
                .with(new TrustBundle("other", List.of(), Map.of("o", ec().getPublic())));
    }

    private static KeyPair ec() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(new ECGenParameterSpec("secp256r1"));
        return generator.generateKeyPair();
    }

    private static KeyPair rsa(int bits) throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("RSA");
        generator.initialize(bits);
        return generator.generateKeyPair();
    }

    private static JWTClaimsSet.Builder claims() {
        return new JWTClaimsSet.Builder().subject(ID).audience("node").expirationTime(Date.from(NOW.plusSeconds(60)));
    }

    private String signed(JWSHeader.Builder header, JWTClaimsSet.Builder claims, JWSSigner signer) throws Exception {
        SignedJWT jwt = new SignedJWT(header.build(), claims.build());
        jwt.sign(signer);
        return jwt.serialize();
    }

    private String ec(JWTClaimsSet.Builder claims) throws Exception {
        return signed(new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("e"), claims, new ECDSASigner((ECPrivateKey)
                ec.getPrivate()));
    }

    private void assertRejected(Reason reason, String token) {
        assertEquals(
                expectThrows(IdentityRejectedException.class, () -> JwtCheck.check(token, "node", bundles, NOW))
                        .reason(),
                reason);
    }

    @Test
    public void acceptsValidTokens() throws Exception {
        assertEquals(
                JwtCheck.check(ec(claims()), "node", bundles, NOW),
                new JwtCheck.JwtSvid(SpiffeId.parse(ID), NOW.plusSeconds(60)));
        String token = signed(
                new JWSHeader.Builder(JWSAlgorithm.PS384).keyID("r").type(JOSEObjectType.JWT),
                claims().audience(List.of("x", "node")),
                new RSASSASigner(rsa.getPrivate()));
        assertEquals(JwtCheck.check(token, "node", bundles, NOW).id(), SpiffeId.parse(ID));
    }

    @Test
    public void rejectsForgedTokensWithTheirReasons() throws Exception {
        ECDSASigner own = new ECDSASigner((ECPrivateKey) ec.getPrivate());
        assertRejected(Reason.UNREADABLE, new PlainJWT(claims().build()).serialize()); // alg none
        assertRejected(
                Reason.WEAK,
                signed(new JWSHeader.Builder(JWSAlgorithm.HS256).keyID("e"), claims(), new MACSigner(new byte[32])));
        assertRejected(
                Reason.WEAK,
                signed(
                        new JWSHeader.Builder(JWSAlgorithm.RS256).keyID("s"),
                        claims(),
                        new RSASSASigner(shortRsa.getPrivate(), true)));
        assertRejected(
                Reason.UNREADABLE,
                signed(
                        new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("e").type(new JOSEObjectType("at+jwt")),
                        claims(),
                        own));
        assertRejected(Reason.WRONG_AUDIENCE, ec(claims().audience("another")));
        assertRejected(Reason.WRONG_AUDIENCE, ec(claims().audience((String) null)));
        assertRejected(Reason.EXPIRED, ec(claims().expirationTime(Date.from(NOW.minusSeconds(1)))));
        assertRejected(Reason.EXPIRED, ec(claims().expirationTime(null)));
        assertRejected(Reason.NOT_YET, ec(claims().notBeforeTime(Date.from(NOW.plusSeconds(5)))));
        assertRejected(Reason.BAD_ID, ec(claims().subject("client")));
        assertRejected(Reason.BAD_ID, ec(claims().subject(null)));
        assertRejected(Reason.BAD_ID, ec(claims().subject("spiffe://td")));
        assertRejected(Reason.UNKNOWN_DOMAIN, ec(claims().subject("spiffe://nowhere/c")));
        assertRejected(Reason.NOT_VOUCHED, ec(claims().subject("spiffe://other/c"))); // key id of another trust domain
        assertRejected(Reason.NOT_VOUCHED, signed(new JWSHeader.Builder(JWSAlgorithm.ES256), claims(), own));
        assertRejected(Reason.NOT_VOUCHED, signed(new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("r"), claims(), own));
        assertRejected(
                Reason.NOT_VOUCHED,
                signed(new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("e"), claims(), new ECDSASigner((ECPrivateKey)
                        ec().getPrivate())));
        String[] parts = ec(claims()).split("\\.");
        assertRejected(
                Reason.NOT_VOUCHED,
                parts[0] + "." + ec(claims().subject("spiffe://td/admin")).split("\\.")[1] + "." + parts[2]);
        assertRejected(Reason.TOO_LARGE, "a".repeat(9000));
    }
}
