package olivechute.discovery;

import java.io.IOException;

/** A call to discovery that brought no list, and why. */
final class DiscoveryCallException extends IOException {
    private static final long serialVersionUID = 1;

    /** Why a call failed, and what an operator can do. docs/runbook.md, 'Discovery', holds them as a table. */
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

        /** What happened, as a clause. */
        String cause() {
            return cause;
        }

        /** What an operator can do, as a clause. */
        String remedy() {
            return remedy;
        }

        /** True if discovery has written something that this node does not know. */
        boolean hasUnreadContent() {
            return hasUnreadContent;
        }
    }

    private final Reason reason;
    private final boolean timedOut;

    DiscoveryCallException(Reason reason, String message) {
        this(reason, message, false);
    }

    /** {@code timedOut}: the connection says nothing, and may have broken with nobody to tell. */
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
