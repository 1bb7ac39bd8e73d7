package olivechute.downstream;

import java.io.IOException;
import java.util.List;

/** Tells a shortage of descriptors or memory, for which room can be made, from faults that pass by themselves. */
final class AcceptFailures {
    /** The system's texts of EMFILE, ENFILE, ENOBUFS and ENOMEM; exceptions carry no number. */
    private static final List<String> EXHAUSTION_MESSAGES =
            List.of("Too many open files", "No buffer space available", "Cannot allocate memory");

    private AcceptFailures() {}

    static boolean isResourceExhaustion(Throwable failure) {
        String message = failure.getMessage();
        return failure instanceof IOException
                && message != null
                && EXHAUSTION_MESSAGES.stream().anyMatch(message::contains);
    }
}
