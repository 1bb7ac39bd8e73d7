package olivechute.memory;

import java.io.IOException;

/**
 * The memory for input of a peer is not available within the node's {@link MemoryBudget}. It becomes available as other
 * peers complete their messages or run into the timeout of incomplete ones; the peer may try again then.
 */
public final class MemoryExhaustedException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; {@code purpose} says what the memory was needed for. */
    public MemoryExhaustedException(String purpose) {
        super("no memory for " + purpose);
    }
}
