package olivechute.downstream;

import java.io.IOException;
import java.util.List;

/**
 * Classifies errors of {@code accept}: lack of file descriptors or memory, which closing other connections relieves, as
 * opposed to errors that are transient. Used by the accept threads of {@link DownstreamServer}.
 */
final class AcceptFailures {
    /** The operating system's messages for EMFILE, ENFILE, ENOBUFS and ENOMEM; Java exceptions carry no errno. */
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
