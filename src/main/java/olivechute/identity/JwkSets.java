package olivechute.identity;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.jwk.AsymmetricJWK;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.JWKSet;
import java.security.PublicKey;
import java.text.ParseException;
import java.util.HashMap;
import java.util.Map;
import olivechute.identity.IdentityRejectedException.Reason;

/** Parses the JWT-SVID verification keys of a trust domain from a JSON Web Key Set in the form of SPIFFE bundles. */
public final class JwkSets {
    private static final int MAX_BYTES = 256 * 1024;
    private static final int MAX_KEYS = 64;
    private static final String JWT_SVID_USE = "jwt-svid";

    private JwkSets() {}

    /**
     * Returns the public keys by key id. Keys with another {@code use} than JWT-SVID, private keys and keys without an
     * id are ignored.
     */
    public static Map<String, PublicKey> parseKeys(String text) throws IdentityRejectedException {
        if (text.length() > MAX_BYTES) {
            throw new IdentityRejectedException(
                    Reason.TOO_LARGE, "key set of " + text.length() + " bytes, " + MAX_BYTES + " at most");
        }
        try {
            Map<String, PublicKey> keys = new HashMap<>();
            for (JWK key : JWKSet.parse(text).getKeys()) {
                boolean forTokens =
                        key.getKeyUse() == null || key.getKeyUse().identifier().equals(JWT_SVID_USE);
                if (forTokens
                        && key.getKeyID() != null
                        && !key.isPrivate()
                        && key instanceof AsymmetricJWK asymmetric) {
                    keys.put(key.getKeyID(), asymmetric.toPublicKey());
                }
            }
            if (keys.size() > MAX_KEYS) {
                throw new IdentityRejectedException(Reason.TOO_LARGE, "over " + MAX_KEYS + " keys");
            }
            return keys;
        } catch (ParseException | JOSEException | IllegalArgumentException e) {
            throw new IdentityRejectedException(Reason.UNREADABLE, "not a JSON Web Key Set");
        }
    }
}
