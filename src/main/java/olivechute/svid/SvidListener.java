package olivechute.svid;

import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SvidManager.Offer;

/** Receives the offers and failures of an SVID source; called on the source's thread. */
public interface SvidListener {
    /**
     * The source offers an identity and trust bundles; throws an {@link IdentityRejectedException} if the offer is
     * rejected.
     */
    void onOffer(Offer offer) throws IdentityRejectedException;

    /** The source could not be read, or its data was rejected; the reason is for the log. */
    void onFailure(String reason);
}
