package olivechute.identity;

import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The trust bundle of one trust domain: the authorities that sign X.509 SVIDs, and the public keys, by key id, that
 * verify JWT SVIDs.
 */
public record TrustBundle(String trustDomain, List<X509Certificate> authorities, Map<String, PublicKey> keys) {
    public TrustBundle {
        authorities = List.copyOf(authorities);
        keys = Map.copyOf(keys);
    }

    /** Returns a bundle with the authorities and keys of both, which must be of the same trust domain. */
    public TrustBundle merge(TrustBundle other) {
        List<X509Certificate> all = new ArrayList<>(authorities);
        all.addAll(other.authorities);
        Map<String, PublicKey> allKeys = new HashMap<>(keys);
        allKeys.putAll(other.keys);
        return new TrustBundle(trustDomain, all, allKeys);
    }
}
