package olivechute.authorization;

import java.util.List;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;

/**
 * Which identity the upstream host of a given name must have, as discovery names it. The first rule that is about a
 * name decides; a name that none is about has no identity, so nobody can be it.
 */
public final class EndpointIdentityRules {
    /** Stands for the host's name in an ID. */
    private static final String PLACEHOLDER = "{host}";

    private static final String WILDCARD = "*";

    private final List<Rule> rules;

    /**
     * {@code host} is a name, or a beginning of names with a star after it; {@code id} is an ID that may hold
     * {@code {host}}.
     */
    public record Rule(String endpoint, String id) {
        /** Checks both; {@code key} is blamed. */
        public static Rule parse(String key, String host, String id) {
            if (host.isEmpty() || (host.indexOf('*') >= 0 && host.indexOf('*') != host.length() - 1)) {
                throw new IllegalArgumentException(
                        key + ".host: must be a name, or a beginning of some with a star after it");
            }
            try {
                if (!SpiffeId.parse(id.replace(PLACEHOLDER, "h")).isWorkload()) {
                    throw new IllegalArgumentException(key + ".id: must name a workload: it has no path");
                }
            } catch (IdentityRejectedException e) {
                throw new IllegalArgumentException(
                        key + ".id: must be a SPIFFE ID, in which {host} may stand: " + e.getMessage());
            }
            int slash = id.indexOf('/', "spiffe://".length());
            if (id.indexOf(PLACEHOLDER) >= 0 && id.indexOf(PLACEHOLDER) < slash) {
                throw new IllegalArgumentException(key + ".id: a trust domain is not to hang on a host's name");
            }
            return new Rule(host, id);
        }

        /** True if some name, put in its place, makes this ID. */
        boolean matchesId(String shown) {
            int at = id.indexOf(PLACEHOLDER);
            if (at < 0) {
                return id.equals(shown);
            }
            int after = id.length() - at - PLACEHOLDER.length();
            String name = shown.length() <= at + after ? "" : shown.substring(at, shown.length() - after);
            return !name.isEmpty()
                    && name.indexOf('/') < 0
                    && appliesTo(name)
                    && id.replace(PLACEHOLDER, name).equals(shown);
        }

        boolean appliesTo(String name) {
            return endpoint.endsWith(WILDCARD)
                    ? name.startsWith(endpoint.substring(0, endpoint.length() - 1))
                    : endpoint.equals(name);
        }
    }

    /** In their order. */
    public EndpointIdentityRules(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** The ID that the host of this name must show, null if there is none that would do. */
    public SpiffeId requiredId(String endpoint) {
        for (Rule rule : rules) {
            if (rule.appliesTo(endpoint)) {
                try {
                    return endpoint.indexOf('/') >= 0 ? null : SpiffeId.parse(rule.id.replace(PLACEHOLDER, endpoint));
                } catch (IdentityRejectedException unfit) {
                    return null; // a name that no ID can hold
                }
            }
        }
        return null;
    }

    /** True if who shows this identity may be the host of some name. */
    public boolean isEndpoint(SpiffeId id) {
        return rules.stream().anyMatch(r -> r.matchesId(id.toString()));
    }

    /**
     * True if who shows this identity may be the host of this name: for what it is sent, and for what it tells of jobs.
     */
    public boolean matches(SpiffeId id, String endpoint) {
        return id.equals(requiredId(endpoint));
    }
}
