package olivechute.identity;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import olivechute.identity.IdentityRejectedException.Reason;

/**
 * The bundles held, one for each trust domain: our own and those of domains we are federated with. An identity is
 * judged by the bundle of its own domain and no other, so that no domain can vouch for another's workloads. Never
 * changes; a change is a new one.
 */
public final class TrustBundles {
    /** None. */
    public static final TrustBundles EMPTY = new TrustBundles(Map.of());

    private final Map<String, TrustBundle> byDomain;

    private TrustBundles(Map<String, TrustBundle> byDomain) {
        this.byDomain = byDomain;
    }

    /** With this bundle in place of the one held of its trust domain, if any. */
    public TrustBundles with(TrustBundle bundle) {
        Map<String, TrustBundle> next = new HashMap<>(byDomain);
        next.put(bundle.trustDomain(), bundle);
        return new TrustBundles(Map.copyOf(next));
    }

    /** Without the bundle of this trust domain: nobody of it is known any more. */
    public TrustBundles without(String trustDomain) {
        Map<String, TrustBundle> next = new HashMap<>(byDomain);
        next.remove(trustDomain);
        return new TrustBundles(Map.copyOf(next));
    }

    /** All that are held. */
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
