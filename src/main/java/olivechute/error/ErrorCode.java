package olivechute.error;

/**
 * The error codes of the fleet's processes, each with its cause and the operator's remedy. docs/runbook.md holds them
 * as a table, and a test compares the two. An error message begins with the name of its code.
 */
public enum ErrorCode {
    DISK_FULL("the disk takes no more bytes", "free space where the replica's folder lies; it comes back by itself"),
    DISK_BROKEN("the disk failed a read or a write", "replace the disk, then start the replica with an empty folder"),
    DATA_CORRUPT(
            "what the disk holds is not what was written",
            "start the replica with an empty folder; the others bring it up to date"),
    DATA_FOREIGN("the folder is another replica's", "name the replica's own folder in its settings"),
    DATA_IN_USE("another process holds the folder", "stop the other process, or give this one a folder of its own"),
    NO_MAJORITY("fewer than half of the replicas answer", "start the missing replicas; what runs runs on meanwhile"),
    NOT_REACHED(
            "no answer in time",
            "look at the link and at the process at the other end; the call may have taken effect"),
    STALE_FENCE(
            "another holder took over since",
            "nothing: the newer holder goes on; stop this process if it is left over"),
    SESSION_ENDED(
            "the lease ran out", "nothing: it is taken anew; look for a process that stood still or a link that broke"),
    LEASE_HELD("another holder has the lease", "wait until it ends, or stop its holder"),
    CONFLICT("the value changed since it was read", "read again and decide anew"),
    TOO_LARGE(
            "a value or key is over the bound", "make it smaller, or raise the bound in the settings of every replica"),
    TOO_MANY(
            "the store holds as much as its bound allows",
            "remove what is old, or raise the bound in the settings of every replica"),
    MALFORMED("a message cannot be read", "look for a sender of another version or another program at this address"),
    LEVEL_TOO_LOW(
            "the group's feature level does not know this",
            "bring every replica to the newer version, then raise the level"),
    SETTINGS_INVALID("the settings cannot be used", "mend the key that is named"),
    CHANGE_UNDER_WAY("one change is under way already", "wait for its end, or stop it"),
    CHANGE_INVALID("the change cannot be carried out", "mend what is named and propose it anew"),
    CHANGE_UNKNOWN("there is no such change", "show the change to see what there is"),
    PROGRAM_MISSING(
            "the program is not at its path, or has another digest", "put the right jar at that path on every machine"),
    NODE_CRASHED("the node ended by itself", "read the node's log; the change is stopped if it crashes again"),
    NODE_NOT_READY("the node was not ready in time", "read the node's log"),
    SETTINGS_REFUSED(
            "the node refused its settings", "mend the key that the node's log names, and propose the change anew");

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
