package olivechute.identity;

import java.security.PrivateKey;

/** The node's own identity: a valid X.509 SVID and the private key of its leaf. */
public record OwnIdentity(X509Svid svid, PrivateKey key) {
    @Override
    public String toString() {
        return "OwnIdentity[" + svid.id() + ", until " + svid.notAfter() + "]"; // the key must not appear in a log
    }
}
