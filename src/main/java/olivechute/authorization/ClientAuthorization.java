package olivechute.authorization;

import java.util.List;
import java.util.Set;
import olivechute.identity.SpiffeId;

/**
 * Decides which identities may submit jobs, and for which tenants. Rules are additive: none revokes what another
 * allows. An identity that no rule matches is not a client.
 */
public final class ClientAuthorization {
    private final List<Rule> rules;

    /**
     * Allows the matching identities these tenants; with empty {@code tenants}, every tenant and requests without one.
     */
    public record Rule(SpiffeIdPattern ids, Set<String> tenants) {
        public Rule {
            tenants = Set.copyOf(tenants);
        }

        boolean allows(String tenant) {
            return tenants.isEmpty() || (tenant != null && tenants.contains(tenant));
        }
    }

    /** Creates the rules; their order does not matter. */
    public ClientAuthorization(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /**
     * Returns true if this identity may be a client of at least one tenant. Other identities are rejected after the
     * handshake unless they are endpoints or proxies.
     */
    public boolean isClient(SpiffeId id) {
        return rules.stream().anyMatch(r -> r.ids.matches(id));
    }

    /** Returns true if this identity may submit a job of this tenant; null if the job names none. */
    public boolean allows(SpiffeId id, String tenant) {
        return rules.stream().anyMatch(r -> r.allows(tenant) && r.ids.matches(id));
    }
}
