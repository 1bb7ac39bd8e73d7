package olivechute.authorization;

import java.util.List;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;

/**
 * A pattern of SPIFFE IDs: one ID ({@code spiffe://td/a/b}), all workloads of a trust domain ({@code spiffe://td}), or
 * a path pattern, in which {@code *} matches one whole segment and {@code **}, at the end, one or more. Trust domains
 * must not contain wildcards: an ID of another domain is checked against another trust bundle, and a rule must name the
 * domain that it trusts.
 */
public final class SpiffeIdPattern {
    private static final String ANY_SEGMENT = "*";
    private static final String ANY_SEGMENTS = "**";

    private final String text;
    private final String trustDomain;
    private final List<String> segments; // empty: the whole trust domain

    private SpiffeIdPattern(String text, String trustDomain, List<String> segments) {
        this.text = text;
        this.trustDomain = trustDomain;
        this.segments = segments;
    }

    /** Parses a pattern; {@code key} is the settings key named in an error. */
    public static SpiffeIdPattern parse(String key, String text) {
        try {
            // With each star replaced by a letter, the text must be a valid SPIFFE ID.
            SpiffeId id = SpiffeId.parse(text.replace('*', 'x'));
            List<String> segments = id.path().isEmpty()
                    ? List.of()
                    : List.of(text.substring(text.indexOf('/', "spiffe://".length()) + 1)
                            .split("/"));
            if (text.indexOf('*') >= 0
                    && text.indexOf('*')
                            < "spiffe://".length() + id.trustDomain().length()) {
                throw new IllegalArgumentException(
                        key + ": a trust domain must not contain a wildcard: '" + text + "'");
            }
            for (int i = 0; i < segments.size(); i++) {
                String segment = segments.get(i);
                boolean hasStar = segment.indexOf('*') >= 0;
                if (hasStar
                        && !segment.equals(ANY_SEGMENT)
                        && !(segment.equals(ANY_SEGMENTS) && i == segments.size() - 1)) {
                    throw new IllegalArgumentException(
                            key + ": * stands for a whole segment and ** for the last ones: '" + text + "'");
                }
            }
            return new SpiffeIdPattern(text, id.trustDomain(), segments);
        } catch (IdentityRejectedException e) {
            throw new IllegalArgumentException(key + ": must be a SPIFFE ID or a pattern of some: " + e.getMessage());
        }
    }

    /** Returns true if this pattern matches the ID. */
    public boolean matches(SpiffeId id) {
        if (!id.trustDomain().equals(trustDomain) || !id.isWorkload()) {
            return false;
        }
        if (segments.isEmpty()) {
            return true;
        }
        String path = id.path();
        int start = 1;
        for (int i = 0; i < segments.size(); i++) {
            String expected = segments.get(i);
            if (start > path.length()) {
                return false;
            }
            if (expected.equals(ANY_SEGMENTS)) {
                return true;
            }
            int slash = path.indexOf('/', start);
            int end = slash < 0 ? path.length() : slash;
            if (!expected.equals(ANY_SEGMENT)
                    && !(expected.length() == end - start && path.startsWith(expected, start))) {
                return false;
            }
            start = end + 1;
        }
        return start > path.length();
    }

    @Override
    public String toString() {
        return text;
    }
}
