package olivechute.discovery;

import java.io.IOException;

/** A call to discovery failed without an endpoint list; carries the reason. */
final class DiscoveryCallException extends IOException {
    private static final long serialVersionUID = 1;

    /**
     * Why a call failed and what an operator can do about it. The section 'Discovery' of docs/runbook.md lists the
     * reasons in a table. Their names and texts appear in the log.
     */
    enum Reason {
        UNREACHABLE(
                "no connection to discovery could be opened",
                "check that discovery is running and its address is right; the node uses its current list meanwhile",
                false),
        LOCAL_FAULT("this machine could not open a connection", "check its file descriptors and its network", false),
        REFUSED(
                "discovery answered with a status other than 200",
                "if it answered at once, discovery has too many callers; if after a wait, it is down or overloaded",
                false),
        SILENT("no part of an answer arrived in time", "nothing: the call is repeated on a new connection", false),
        CLOSED("the connection was closed before an answer arrived", "nothing, unless it happens repeatedly", false),
        INCOMPLETE("only part of an answer arrived", "check the network between the node and discovery", true),
        UNREADABLE(
                "the answer is not an endpoint list, or is larger than 2 MiB",
                "check what discovery answers; the node keeps its current list",
                true),
        MOVED("a new configuration changed the address of discovery during the call", "nothing", false);

        private final String cause;
        private final String remedy;
        private final boolean hasUnreadContent;

        Reason(String cause, String remedy, boolean hasUnreadContent) {
            this.cause = cause;
            this.remedy = remedy;
            this.hasUnreadContent = hasUnreadContent;
        }

        /** Returns what happened, as a clause. */
        String cause() {
            return cause;
        }

        /** Returns what an operator can do, as a clause. */
        String remedy() {
            return remedy;
        }

        /**
         * Whether discovery sent content that this node could not read, and so may count this node as notified of a
         * change that it does not have.
         */
        boolean hasUnreadContent() {
            return hasUnreadContent;
        }
    }

    private final Reason reason;
    private final boolean timedOut;

    DiscoveryCallException(Reason reason, String message) {
        this(reason, message, false);
    }

    /**
     * Creates an exception.
     *
     * @param timedOut whether the call timed out; its connection may be broken without either side having been notified
     */
    DiscoveryCallException(Reason reason, String message, boolean timedOut) {
        super(message);
        this.reason = reason;
        this.timedOut = timedOut;
    }

    boolean timedOut() {
        return timedOut;
    }

    Reason reason() {
        return reason;
    }
}
