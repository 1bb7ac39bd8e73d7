package olivechute.testca;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.KeyUse;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import java.security.KeyPair;
import java.security.interfaces.ECPrivateKey;
import java.security.interfaces.ECPublicKey;
import java.time.Instant;
import java.util.Date;
import java.util.List;

/** Issues JWT-SVIDs of a trust domain, and the key set that verifies them. For development and tests. */
public final class TokenIssuer {
    private final KeyPair keys = CertificateBuilder.newEcKeyPair();
    private final String keyId;

    /** Creates an issuer with a new key of this id. */
    public TokenIssuer(String keyId) {
        this.keyId = keyId;
    }

    /** Issues a token of this identity for these audiences with this expiration time. */
    public String token(String id, List<String> audiences, Instant until) {
        try {
            SignedJWT jwt = new SignedJWT(
                    new JWSHeader.Builder(JWSAlgorithm.ES256).keyID(keyId).build(),
                    new JWTClaimsSet.Builder()
                            .subject(id)
                            .audience(audiences)
                            .expirationTime(Date.from(until))
                            .build());
            jwt.sign(new ECDSASigner((ECPrivateKey) keys.getPrivate()));
            return jwt.serialize();
        } catch (JOSEException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the key set in the form of a SPIFFE bundle. */
    public String keySet() {
        return new JWKSet(new ECKey.Builder(Curve.P_256, (ECPublicKey) keys.getPublic())
                        .keyID(keyId)
                        .keyUse(new KeyUse("jwt-svid"))
                        .build())
                .toString();
    }
}
