package olivechute.identity;

/**
 * Thrown for an identity that is not valid. The reason is for the local log only; the peer learns no more than that it
 * was rejected.
 */
public final class IdentityRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The kind of fault. */
    public enum Reason {
        /** Not a valid SPIFFE ID under the SPIFFE-ID standard. */
        BAD_ID,
        /** Cannot be decoded or parsed. */
        UNREADABLE,
        /** The subject alternative names hold no URI or several; exactly one is required. */
        NOT_ONE_ID,
        /** A certificate that may sign others is used as a workload's leaf. */
        SIGNER_AS_LEAF,
        /** The key usage does not allow this use. */
        WRONG_USAGE,
        /** A certificate that may not sign has issued another in the chain. */
        UNFIT_SIGNER,
        /** A key or signature that is too weak. */
        WEAK,
        /** The validity period has ended. */
        EXPIRED,
        /** The validity period has not begun. */
        NOT_YET,
        /** There is no trust bundle for its trust domain. */
        UNKNOWN_DOMAIN,
        /** The trust bundle of its own trust domain does not verify it. */
        NOT_VOUCHED,
        /** The token is for another audience. */
        WRONG_AUDIENCE,
        /** Larger than the limit for reading. */
        TOO_LARGE
    }

    private final Reason reason;

    /** {@code text} is logged: it describes the fault and must not contain key material. */
    public IdentityRejectedException(Reason reason, String text) {
        super(reason.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-') + ": " + text, null, false, false);
        this.reason = reason;
    }

    public Reason reason() {
        return reason;
    }
}
