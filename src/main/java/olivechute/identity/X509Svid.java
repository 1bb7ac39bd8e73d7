package olivechute.identity;

import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.List;

/**
 * An identity that was proven by a valid certificate chain, leaf first. It is not valid after {@code notAfter}, the
 * earliest expiry in the chain.
 */
public record X509Svid(SpiffeId id, List<X509Certificate> chain, Instant notAfter) {}
