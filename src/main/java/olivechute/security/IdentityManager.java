package olivechute.security;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.OwnIdentity;
import olivechute.identity.SvidManager;
import olivechute.identity.SvidManager.Offer;
import olivechute.identity.SvidManager.OfferResult;
import olivechute.identity.TrustBundles;
import olivechute.svid.SvidListener;
import olivechute.tls.TlsContext;
import org.tinylog.Logger;

/**
 * Holds the node's own identity and the TLS context built from it. An accepted offer of the SVID source applies from
 * the next handshake on; open connections check their peers against the new bundles. {@code onOffer} and
 * {@code onFailure} run on the source's thread, the getters on any.
 */
@SuppressWarnings("ReferenceEquality") // identities are compared by reference to detect a replacement
final class IdentityManager implements SvidListener {
    private final SvidManager svidManager;
    private final boolean allowTls12;
    private final Supplier<Instant> clock;
    private volatile ActiveIdentity active;
    private volatile String lastFailure; // last logged reason, so that a repeated failure is logged once
    private Instant lastExpiryWarning; // threshold of the last warning; used by one thread only

    /** The node's identity, the TLS context built from it, and the time from which it is active. */
    record ActiveIdentity(OwnIdentity identity, TlsContext context, Instant since) {}

    IdentityManager(String trustDomain, boolean allowTls12, Supplier<Instant> clock) throws IdentityRejectedException {
        this.svidManager = new SvidManager(trustDomain);
        this.allowTls12 = allowTls12;
        this.clock = clock;
    }

    Instant now() {
        return clock.get();
    }

    SvidManager.State state() {
        return svidManager.state();
    }

    TrustBundles bundles() {
        return svidManager.state().bundles();
    }

    /**
     * Returns the node's own identity; fails if there is none or if it has expired, as no handshake is possible then.
     */
    ActiveIdentity active() throws IOException {
        ActiveIdentity current = active;
        if (current == null) {
            throw new IOException("this node has no identity yet");
        }
        if (clock.get().isAfter(current.identity.svid().notAfter())) {
            throw new IOException("the identity of this node expired at "
                    + current.identity.svid().notAfter());
        }
        return current;
    }

    @Override
    public synchronized void onOffer(Offer offer) throws IdentityRejectedException {
        OfferResult result = svidManager.offer(offer, clock.get());
        lastFailure = null;
        if (result == OfferResult.UNCHANGED) {
            return;
        }
        OwnIdentity identity = svidManager.state().own();
        if (active == null || active.identity != identity) {
            active = new ActiveIdentity(
                    identity,
                    new TlsContext(identity.svid().chain(), identity.key(), allowTls12, this::bundles, clock),
                    clock.get());
        }
        Logger.info(
                "identity {} active until {}, trust bundles of {}",
                identity.svid().id(),
                identity.svid().notAfter(),
                bundles().all().stream()
                        .map(b -> b.trustDomain() + " (" + b.authorities().size() + ")")
                        .sorted()
                        .toList());
    }

    @Override
    public void onFailure(String reason) {
        if (!reason.equals(lastFailure)) {
            lastFailure = reason;
            ActiveIdentity current = active;
            Logger.warn(
                    "identity not renewed, {}: {}",
                    current == null
                            ? "no identity is active"
                            : "the current one is valid until "
                                    + current.identity.svid().notAfter(),
                    reason);
        }
    }

    /**
     * Logs that the identity is about to expire: once when a third of the time between its activation and its expiry is
     * left, and once when it has expired. Returns true if it logged. Must be called from one thread only.
     */
    boolean warnOfExpiry() {
        ActiveIdentity current = active;
        if (current == null) {
            return false;
        }
        Instant expiry = current.identity.svid().notAfter();
        Instant now = clock.get();
        Instant warningTime =
                expiry.minus(Duration.between(current.since, expiry).dividedBy(3));
        Instant reached = now.isAfter(expiry) ? expiry : now.isAfter(warningTime) ? warningTime : null;
        if (reached == null || reached.equals(lastExpiryWarning)) {
            return false;
        }
        lastExpiryWarning = reached;
        if (reached.equals(expiry)) {
            Logger.error("the identity of this node expired at {}: no new connections until it is renewed", expiry);
        } else {
            Logger.warn("the identity of this node expires at {} and has not been renewed yet", expiry);
        }
        return true;
    }
}
