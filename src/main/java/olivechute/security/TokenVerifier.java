package olivechute.security;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.JwtCheck;
import olivechute.identity.JwtCheck.JwtSvid;
import olivechute.identity.TrustBundles;

/**
 * Verifies JWT-SVIDs and caches the valid ones: a client sends the same token many times, and verifying a signature is
 * expensive. Safe for use by any thread.
 */
final class TokenVerifier {
    private static final int MAX_CACHED_TOKENS = 512;

    private final Map<String, CachedToken> cache = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CachedToken> eldest) {
            return size() > MAX_CACHED_TOKENS;
        }
    };

    private record CachedToken(JwtSvid svid, String audience, TrustBundles bundles, Instant checkedAt) {}

    /** Returns the identity of a token, verified at this time against these bundles. */
    JwtSvid check(String token, String audience, TrustBundles bundles, Instant now) throws IdentityRejectedException {
        CachedToken cached;
        synchronized (cache) {
            cached = cache.get(token);
        }
        if (cached != null
                && cached.bundles == bundles
                && cached.audience.equals(audience)
                && !now.isBefore(cached.checkedAt)
                && !now.isAfter(cached.svid.notAfter())) {
            return cached.svid;
        }
        JwtSvid svid = JwtCheck.check(token, audience, bundles, now);
        synchronized (cache) {
            cache.put(token, new CachedToken(svid, audience, bundles, now));
        }
        return svid;
    }
}
