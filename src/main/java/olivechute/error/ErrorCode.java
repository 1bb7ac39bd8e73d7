package olivechute.error;

/**
 * The error codes of the fleet's processes, each with its cause and the operator's remedy. docs/runbook.md holds them
 * as a table, and a test compares the two. An error message begins with the name of its code.
 */
public enum ErrorCode {
    DISK_FULL(
            "the disk is full, or the replica's quota is used up",
            "free space on the disk that holds the replica's folder; the replica then rejoins its group by itself"),
    DISK_BROKEN(
            "a read from or a write to the disk failed",
            "replace the disk, then start the replica with an empty folder"),
    DATA_CORRUPT(
            "the stored data is corrupt: it differs from what was written",
            "start the replica with an empty folder; the other replicas bring it up to date"),
    DATA_FOREIGN("the folder belongs to another replica", "set the replica's own folder in its settings"),
    DATA_IN_USE("another process uses the folder", "stop the other process, or give this one a folder of its own"),
    NO_MAJORITY(
            "no majority of the replicas answers",
            "start the missing replicas; processes that are running continue meanwhile"),
    NOT_REACHED(
            "no answer arrived in time",
            "check the network and the process at the other end; the call may have taken effect"),
    STALE_FENCE(
            "another holder has taken over the lease since",
            "nothing, the new holder continues; stop this process if it should no longer run"),
    SESSION_ENDED(
            "the lease expired",
            "nothing, the lease is acquired again automatically; "
                    + "look for a process that stalled or a network connection that broke"),
    LEASE_HELD("another holder has the lease", "wait until the lease ends, or stop its holder"),
    CONFLICT("the value changed since it was read", "read the value again and decide on the basis of the new one"),
    TOO_LARGE(
            "a value, key, batch or message exceeds its limit",
            "make it smaller, or raise the limit in the settings of every replica"),
    TOO_MANY(
            "the store holds as much as its limit allows",
            "remove old entries, or raise the limit in the settings of every replica"),
    MALFORMED(
            "a message or a stored value cannot be parsed",
            "check whether the sender runs another version, or another program uses this address"),
    LEVEL_TOO_LOW(
            "the group's feature level does not support this",
            "upgrade every replica to the newer version, then raise the level"),
    SETTINGS_INVALID("the settings cannot be used", "correct the key that the message names"),
    CHANGE_UNDER_WAY("another change is already under way", "wait until it ends, or stop it"),
    CHANGE_INVALID("the change cannot be carried out", "correct what the message names and propose the change again"),
    CHANGE_UNKNOWN("there is no such change or node", "run \"change show\" to see the current change and the nodes"),
    PROGRAM_MISSING(
            "the program's jar is not at its path, is unreadable or has another digest",
            "put the correct jar at that path on every machine"),
    NODE_CRASHED(
            "the node's process ended unexpectedly",
            "read the node's log; the change is stopped if the node crashes again"),
    NODE_NOT_READY("the node was not ready in time", "read the node's log"),
    SETTINGS_REFUSED(
            "the node rejected its settings",
            "correct the key that the node's log names, and propose the change again");

    private final String cause;
    private final String remedy;

    ErrorCode(String cause, String remedy) {
        this.cause = cause;
        this.remedy = remedy;
    }

    /** Returns what happened, as a clause. */
    public String cause() {
        return cause;
    }

    /** Returns what an operator can do, as a clause. */
    public String remedy() {
        return remedy;
    }
}
