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
                "no connection came up",
                "see whether discovery runs and the address is right; the node sends by its list meanwhile",
                false),
        LOCAL_FAULT("this machine could not open a connection", "look at its descriptors and its network", false),
        REFUSED(
                "answered with another status than 200",
                "at once: discovery has too many callers; after a wait: it is down, or overloaded",
                false),
        SILENT("nothing of an answer in time", "nothing: the call is made again on a new connection", false),
        CLOSED("the connection ended before an answer", "nothing, unless it goes on", false),
        INCOMPLETE("an answer began and did not end", "look at the network between", true),
        UNREADABLE(
                "the answer is no list, or is over 2 MiB",
                "look at what discovery answers; the list before it is kept",
                true),
        MOVED("a new configuration came during the call", "nothing", false);

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
     * @param timedOut whether the connection delivers no data; it may be broken without either side having been
     *     notified
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
