package olivechute.rollout;

/**
 * Counts of the requests of one class since the start of a node's process: received, and how they ended.
 * {@code cancelled}: the client went away.
 */
public record ClassCounts(
        long received, long servedInTime, long servedLate, long rejected, long failed, long cancelled) {
    public static final ClassCounts NONE = new ClassCounts(0, 0, 0, 0, 0, 0);

    /** The difference to an earlier count of the same process. */
    public ClassCounts since(ClassCounts earlier) {
        return new ClassCounts(
                received - earlier.received,
                servedInTime - earlier.servedInTime,
                servedLate - earlier.servedLate,
                rejected - earlier.rejected,
                failed - earlier.failed,
                cancelled - earlier.cancelled);
    }
}
