package olivechute.authorization;

import java.util.List;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;

/**
 * Maps the names of upstream endpoints, as discovery gives them, to the identities that they must have. The first rule
 * that applies to a name decides; a name to which no rule applies has no identity, so no peer is accepted for it.
 */
public final class EndpointIdentityRules {
    /** Placeholder for the endpoint's name in an ID. */
    private static final String PLACEHOLDER = "{host}";

    private static final String WILDCARD = "*";

    private final List<Rule> rules;

    /**
     * {@code endpoint} is a name, or a prefix of names followed by {@code *}; {@code id} is an ID that may contain
     * {@code {host}}.
     */
    public record Rule(String endpoint, String id) {
        /** Parses a rule; {@code key} is the settings key named in an error. */
        public static Rule parse(String key, String host, String id) {
            if (host.isEmpty() || (host.indexOf('*') >= 0 && host.indexOf('*') != host.length() - 1)) {
                throw new IllegalArgumentException(
                        key + ".host: must be a name, or a prefix of names with a star after it");
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
                throw new IllegalArgumentException(key + ".id: a trust domain must not depend on an endpoint's name");
            }
            return new Rule(host, id);
        }

        /** Returns true if this ID results from the rule for some name to which the rule applies. */
        boolean matchesId(String presentedId) {
            int placeholderStart = id.indexOf(PLACEHOLDER);
            if (placeholderStart < 0) {
                return id.equals(presentedId);
            }
            int suffixLength = id.length() - placeholderStart - PLACEHOLDER.length();
            String name = presentedId.length() <= placeholderStart + suffixLength
                    ? ""
                    : presentedId.substring(placeholderStart, presentedId.length() - suffixLength);
            return !name.isEmpty()
                    && name.indexOf('/') < 0
                    && appliesTo(name)
                    && id.replace(PLACEHOLDER, name).equals(presentedId);
        }

        boolean appliesTo(String name) {
            return endpoint.endsWith(WILDCARD)
                    ? name.startsWith(endpoint.substring(0, endpoint.length() - 1))
                    : endpoint.equals(name);
        }
    }

    /** Creates the rules; the first that applies to a name decides. */
    public EndpointIdentityRules(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** Returns the ID that the endpoint of this name must have, null if no ID is valid for it. */
    public SpiffeId requiredId(String endpoint) {
        for (Rule rule : rules) {
            if (rule.appliesTo(endpoint)) {
                try {
                    return endpoint.indexOf('/') >= 0 ? null : SpiffeId.parse(rule.id.replace(PLACEHOLDER, endpoint));
                } catch (IdentityRejectedException invalidId) {
                    return null; // the name cannot be part of a SPIFFE ID
                }
            }
        }
        return null;
    }

    /** Returns true if this identity may be the endpoint of some name. */
    public boolean isEndpoint(SpiffeId id) {
        return rules.stream().anyMatch(r -> r.matchesId(id.toString()));
    }

    /**
     * Returns true if this identity is the one of the endpoint of this name; checked for requests sent to it and for
     * the job status events that it sends.
     */
    public boolean matches(SpiffeId id, String endpoint) {
        return id.equals(requiredId(endpoint));
    }
}
