package olivechute.svid;

import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SvidManager.Offer;

/** Takes what a source brings; called by the source's thread. */
public interface SvidListener {
    /** Something new is there; a {@link IdentityRejectedException} says why it is not taken. */
    void onOffer(Offer offer) throws IdentityRejectedException;

    /** The source brings nothing, or nothing that can be read; the reason is for the log. */
    void onFailure(String reason);
}
