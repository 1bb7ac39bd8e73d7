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
 * The identity in force and the TLS context made of it. What a source brings takes effect for the next handshake, and
 * connections that are open are judged again under it.
 */
@SuppressWarnings("ReferenceEquality") // the identity in force is one object
final class IdentityManager implements SvidListener {
    private final SvidManager svidManager;
    private final boolean allowTls12;
    private final Supplier<Instant> clock;
    private volatile ActiveIdentity active;
    private volatile String lastFailure; // said last, not to be said at each look
    private Instant lastExpiryWarning; // the moment that was told of last; one thread's

    /** Our identity, the context made of it, and since when it is in force. */
    record ActiveIdentity(OwnIdentity identity, TlsContext context, Instant since) {}

    IdentityManager(String trustDomain, boolean lenient, Supplier<Instant> clock) throws IdentityRejectedException {
        this.svidManager = new SvidManager(trustDomain);
        this.allowTls12 = lenient;
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

    /** Ours, if it holds; without one there is no handshake. */
    ActiveIdentity active() throws IOException {
        ActiveIdentity current = active;
        if (current == null) {
            throw new IOException("no identity of our own yet");
        }
        if (clock.get().isAfter(current.identity.svid().notAfter())) {
            throw new IOException(
                    "our own identity expired at " + current.identity.svid().notAfter());
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
                "identity {} until {}, with bundles of {}",
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
                            ? "none is in force"
                            : "the last one is in force until "
                                    + current.identity.svid().notAfter(),
                    reason);
        }
    }

    /**
     * Says in time that an identity runs out: once when a third of its time with us is left, once when it is over. True
     * when it says so. For one thread.
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
            Logger.error("our own identity expired at {}: no new connection until it is renewed", expiry);
        } else {
            Logger.warn("our own identity expires at {} and is not renewed yet", expiry);
        }
        return true;
    }
}
