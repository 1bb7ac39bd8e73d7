package olivechute.identity;

import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What vouches for one trust domain: authorities that sign X.509 documents, and keys by their ids that sign JWT
 * documents.
 */
public record TrustBundle(String trustDomain, List<X509Certificate> authorities, Map<String, PublicKey> keys) {
    public TrustBundle {
        authorities = List.copyOf(authorities);
        keys = Map.copyOf(keys);
    }

    /** What either vouches for; both are of one trust domain. */
    public TrustBundle merge(TrustBundle other) {
        List<X509Certificate> all = new ArrayList<>(authorities);
        all.addAll(other.authorities);
        Map<String, PublicKey> allKeys = new HashMap<>(keys);
        allKeys.putAll(other.keys);
        return new TrustBundle(trustDomain, all, allKeys);
    }
}
