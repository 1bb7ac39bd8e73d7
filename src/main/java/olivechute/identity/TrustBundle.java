package olivechute.identity;

import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Map;

/** What vouches for one trust domain: authorities that sign X.509 documents, and keys by their ids that sign JWT documents. */
public record TrustBundle(String trustDomain, List<X509Certificate> authorities, Map<String, PublicKey> keys) {
    public TrustBundle {
        authorities = List.copyOf(authorities);
        keys = Map.copyOf(keys);
    }
}
