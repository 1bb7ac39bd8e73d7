package olivechute.identity;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import olivechute.identity.IdentityRejectedException.Reason;

/**
 * Trust bundles by trust domain: the node's own domain and the federated ones. An identity is checked only against the
 * bundle of its own domain, so that no domain can issue identities of another. Immutable; a change returns a new
 * instance.
 */
public final class TrustBundles {
    /** No bundles. */
    public static final TrustBundles EMPTY = new TrustBundles(Map.of());

    private final Map<String, TrustBundle> byDomain;

    private TrustBundles(Map<String, TrustBundle> byDomain) {
        this.byDomain = byDomain;
    }

    /** Returns a copy in which this bundle is added or replaces that of the same trust domain. */
    public TrustBundles with(TrustBundle bundle) {
        Map<String, TrustBundle> next = new HashMap<>(byDomain);
        next.put(bundle.trustDomain(), bundle);
        return new TrustBundles(Map.copyOf(next));
    }

    /** Returns a copy without the bundle of this trust domain, whose identities are then rejected. */
    public TrustBundles without(String trustDomain) {
        Map<String, TrustBundle> next = new HashMap<>(byDomain);
        next.remove(trustDomain);
        return new TrustBundles(Map.copyOf(next));
    }

    /** Returns all bundles. */
    public Collection<TrustBundle> all() {
        return byDomain.values();
    }

    TrustBundle bundleFor(SpiffeId id) throws IdentityRejectedException {
        TrustBundle bundle = byDomain.get(id.trustDomain());
        if (bundle == null) {
            throw new IdentityRejectedException(Reason.UNKNOWN_DOMAIN, "no bundle of trust domain " + id.trustDomain());
        }
        return bundle;
    }
}
