package olivechute.authorization;

import java.util.List;
import java.util.Set;
import olivechute.identity.SpiffeId;

/**
 * Which identities may hand in jobs, and for which tenants. Rules add up: what one allows no other takes back. Without
 * a rule that is about it an identity is no client at all.
 */
public final class ClientAuthorization {
    private final List<Rule> rules;

    /** Identities that may speak for these tenants, or, where {@code tenants} is empty, for any and for none. */
    public record Rule(SpiffeIdPattern ids, Set<String> tenants) {
        public Rule {
            tenants = Set.copyOf(tenants);
        }

        boolean allows(String tenant) {
            return tenants.isEmpty() || (tenant != null && tenants.contains(tenant));
        }
    }

    /** In any order. */
    public ClientAuthorization(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** True if this identity may be a client of some tenant: whom else to let in ends at the handshake. */
    public boolean isClient(SpiffeId id) {
        return rules.stream().anyMatch(r -> r.ids.matches(id));
    }

    /** True if this identity may hand in a job of this tenant; null where the job names none. */
    public boolean allows(SpiffeId id, String tenant) {
        return rules.stream().anyMatch(r -> r.allows(tenant) && r.ids.matches(id));
    }
}
