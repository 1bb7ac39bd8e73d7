package olivechute.loadbalancing;

/**
 * The set of endpoints that share a record of idempotency keys and therefore drop repeats of a
 * {@link Idempotency#KEYED} request.
 */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell within a zone. */
    CELL
}
