package olivechute.store;

import olivechute.error.ErrorCode;
import olivechute.store.wire.Refusal;

/** Ends a command that is not done; within the state machine only. */
final class CommandRejectedException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient Refusal rejection;

    /** {@code version}: the present one of the key in question, 0 where that says nothing. */
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
