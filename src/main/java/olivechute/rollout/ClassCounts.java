package olivechute.rollout;

/** Ended streams of one class since the start of a node's process. */
public record ClassCounts(
        long received, long servedInTime, long servedLate, long rejected, long failed, long cancelled) {
    public static final ClassCounts NONE = new ClassCounts(0, 0, 0, 0, 0, 0);

    /** What was added since an earlier count of the same process. */
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
