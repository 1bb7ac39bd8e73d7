package olivechute.identity;

import olivechute.identity.IdentityRejectedException.Reason;

/**
 * A SPIFFE ID: {@code spiffe://}, a trust domain and a path that is empty or begins with a slash. The text must match
 * the SPIFFE-ID standard exactly: case is not folded and nothing is percent-decoded or normalized, because parsers
 * differ in how they do that.
 */
public record SpiffeId(String trustDomain, String path) {
    private static final String SCHEME = "spiffe://";
    // Limits of the SPIFFE-ID standard
    private static final int MAX_ID_BYTES = 2048;
    private static final int MAX_DOMAIN_BYTES = 255;

    /** Parses an ID; throws an {@link IdentityRejectedException} with the reason if the text is not valid. */
    public static SpiffeId parse(String text) throws IdentityRejectedException {
        if (text == null || text.isEmpty()) {
            throw invalid("empty");
        }
        if (text.length() > MAX_ID_BYTES) {
            throw invalid("over " + MAX_ID_BYTES + " bytes");
        }
        if (!text.startsWith(SCHEME)) {
            throw invalid("must begin with " + SCHEME);
        }
        int slash = text.indexOf('/', SCHEME.length());
        int end = slash < 0 ? text.length() : slash;
        String path = text.substring(end);
        checkPath(path);
        return new SpiffeId(trustDomain(text.substring(SCHEME.length(), end)), path);
    }

    /** Returns the text if it is a valid trust domain name; throws an {@link IdentityRejectedException} if not. */
    public static String trustDomain(String name) throws IdentityRejectedException {
        if (name.isEmpty() || name.length() > MAX_DOMAIN_BYTES) {
            throw invalid("trust domain of " + name.length() + " bytes, 1 to " + MAX_DOMAIN_BYTES + " allowed");
        }
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_')) {
                throw invalid("trust domain holds a character other than a-z, 0-9, dot, dash and underscore");
            }
        }
        return name;
    }

    private static void checkPath(String path) throws IdentityRejectedException {
        for (int slash = 0; slash < path.length(); ) {
            int next = path.indexOf('/', slash + 1);
            int end = next < 0 ? path.length() : next;
            checkSegment(path, slash + 1, end);
            slash = end;
        }
    }

    private static void checkSegment(String path, int start, int end) throws IdentityRejectedException {
        if (start == end) {
            throw invalid("an empty path segment, or a slash at the end");
        }
        boolean onlyDots = end - start <= 2;
        for (int i = start; i < end; i++) {
            char c = path.charAt(i);
            onlyDots &= c == '.';
            if (!((c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || (c >= '0' && c <= '9')
                    || c == '.'
                    || c == '-'
                    || c == '_')) {
                throw invalid("path holds a character other than letters, digits, dot, dash and underscore");
            }
        }
        if (onlyDots) {
            throw invalid("a path segment of dots only");
        }
    }

    private static IdentityRejectedException invalid(String text) {
        return new IdentityRejectedException(Reason.BAD_ID, text);
    }

    /** Returns true if this ID names a workload rather than a whole trust domain. */
    public boolean isWorkload() {
        return !path.isEmpty();
    }

    @Override
    public String toString() {
        return SCHEME + trustDomain + path;
    }
}
