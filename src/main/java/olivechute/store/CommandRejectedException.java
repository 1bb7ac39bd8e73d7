package olivechute.store;

import olivechute.error.ErrorCode;
import olivechute.store.wire.Refusal;

/** Thrown by the parts of the state machine to reject a command; never leaves the state machine. */
final class CommandRejectedException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient Refusal rejection;

    /** Creates a rejection; {@code version} is the stored version of the key in question, or 0 if none applies. */
    CommandRejectedException(ErrorCode kind, String text, long version) {
        super(text, null, false, false);
        rejection = Refusal.newBuilder()
                .setKind(kind.name())
                .setText(text)
                .setVersion(version)
                .build();
    }

    CommandRejectedException(ErrorCode kind, String text) {
        this(kind, text, 0);
    }

    Refusal rejection() {
        return rejection;
    }
}
