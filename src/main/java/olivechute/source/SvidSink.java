package olivechute.source;

import olivechute.identity.RefusedException;
import olivechute.identity.SvidKeeper.Offer;

/** Takes what a source brings; called by the source's thread. */
public interface SvidSink {
    /** Something new is there; a {@link RefusedException} says why it is not taken. */
    void offered(Offer offer) throws RefusedException;

    /** The source brings nothing, or nothing that can be read; the reason is for the log. */
    void failed(String reason);
}
