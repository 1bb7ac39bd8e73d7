package olivechute.identity;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSVerifier;
import com.nimbusds.jose.crypto.ECDSAVerifier;
import com.nimbusds.jose.crypto.RSASSAVerifier;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import java.security.PublicKey;
import java.security.interfaces.ECPublicKey;
import java.security.interfaces.RSAPublicKey;
import java.text.ParseException;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import java.util.Set;
import olivechute.identity.IdentityRejectedException.Reason;

/** Validates a token by the JWT-SVID standard; used for clients behind a proxy that terminates their TLS. */
public final class JwtCheck {
    private static final int MAX_TOKEN_BYTES = 8192;
    private static final int MIN_RSA_BITS = 2048;
    /** Only the algorithms of the standard; in particular neither {@code none} nor an algorithm with a shared key. */
    private static final Set<JWSAlgorithm> ALGORITHMS = Set.of(
            JWSAlgorithm.RS256,
            JWSAlgorithm.RS384,
            JWSAlgorithm.RS512,
            JWSAlgorithm.ES256,
            JWSAlgorithm.ES384,
            JWSAlgorithm.ES512,
            JWSAlgorithm.PS256,
            JWSAlgorithm.PS384,
            JWSAlgorithm.PS512);

    private static final Set<String> TYPES = Set.of("JWT", "JOSE");

    private JwtCheck() {}

    /** An identity that was proven by a valid token; it expires at {@code notAfter}. */
    public record JwtSvid(SpiffeId id, Instant notAfter) {}

    /**
     * Returns the identity of a token for {@code audience}; throws an {@link IdentityRejectedException} with the reason
     * if the token is not valid at {@code now}.
     */
    public static JwtSvid check(String token, String audience, TrustBundles bundles, Instant now)
            throws IdentityRejectedException {
        if (token.length() > MAX_TOKEN_BYTES) {
            throw new IdentityRejectedException(
                    Reason.TOO_LARGE, "token of " + token.length() + " bytes, " + MAX_TOKEN_BYTES + " at most");
        }
        try {
            SignedJWT jwt = SignedJWT.parse(token);
            JWSAlgorithm algorithm = jwt.getHeader().getAlgorithm();
            if (!ALGORITHMS.contains(algorithm)) {
                throw new IdentityRejectedException(Reason.WEAK, "algorithm " + algorithm);
            }
            if (jwt.getHeader().getType() != null
                    && !TYPES.contains(jwt.getHeader().getType().getType())) {
                throw new IdentityRejectedException(
                        Reason.UNREADABLE, "type " + jwt.getHeader().getType());
            }
            JWTClaimsSet claims = jwt.getJWTClaimsSet();
            SpiffeId id = SpiffeId.parse(claims.getSubject());
            if (!id.isWorkload()) {
                throw new IdentityRejectedException(
                        Reason.BAD_ID, "the subject must name a workload: its ID has no path");
            }
            Instant expiry = checkLifetime(claims, now);
            List<String> audiences = claims.getAudience();
            if (!audiences.contains(audience)) {
                throw new IdentityRejectedException(
                        Reason.WRONG_AUDIENCE, "for " + audiences.size() + " other audiences, not for " + audience);
            }
            PublicKey key = bundles.bundleFor(id)
                    .keys()
                    .get(String.valueOf(jwt.getHeader().getKeyID()));
            if (key == null || !jwt.verify(verifier(key, algorithm))) {
                throw new IdentityRejectedException(
                        Reason.NOT_VOUCHED,
                        "bundle of " + id.trustDomain()
                                + (key == null ? ": unknown key id" : ": the signature does not match the key"));
            }
            return new JwtSvid(id, expiry);
        } catch (ParseException | JOSEException | IllegalArgumentException e) {
            throw new IdentityRejectedException(Reason.UNREADABLE, "not a signed token");
        }
    }

    private static Instant checkLifetime(JWTClaimsSet claims, Instant now) throws IdentityRejectedException {
        Date expiry = claims.getExpirationTime();
        if (expiry == null || now.isAfter(expiry.toInstant())) {
            throw new IdentityRejectedException(
                    Reason.EXPIRED,
                    expiry == null ? "has no expiration time" : "expired at " + expiry.toInstant() + ", it is " + now);
        }
        Date notBefore = claims.getNotBeforeTime();
        if (notBefore != null && now.isBefore(notBefore.toInstant())) {
            throw new IdentityRejectedException(
                    Reason.NOT_YET, "valid from " + notBefore.toInstant() + ", it is " + now);
        }
        return expiry.toInstant();
    }

    private static JWSVerifier verifier(PublicKey key, JWSAlgorithm algorithm)
            throws JOSEException, IdentityRejectedException {
        boolean rsa = JWSAlgorithm.Family.RSA.contains(algorithm);
        if (rsa && key instanceof RSAPublicKey k) {
            if (k.getModulus().bitLength() < MIN_RSA_BITS) {
                throw new IdentityRejectedException(
                        Reason.WEAK, "an RSA key of " + k.getModulus().bitLength() + " bits");
            }
            return new RSASSAVerifier(k);
        }
        if (!rsa && key instanceof ECPublicKey k) {
            return new ECDSAVerifier(k);
        }
        throw new IdentityRejectedException(
                Reason.NOT_VOUCHED, "algorithm " + algorithm + " does not match the type of the key");
    }
}
