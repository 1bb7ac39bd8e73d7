package olivechute.loadbalancing;

/** Whether a request class may be attempted more than once. */
public enum Idempotency {
    /** Any number of attempts has the effect of one. */
    IDEMPOTENT,
    /** Carries an idempotency key; the endpoints of one {@link DeduplicationScope} drop repeats for a limited time. */
    KEYED,
    /** Must not be executed twice. */
    NOT_IDEMPOTENT
}
