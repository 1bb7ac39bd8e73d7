package olivechute.loadbalancing;

/** A report from an endpoint about an attempt in flight. */
public enum AttemptSignal {
    /** The request left the endpoint's queue and started to run. */
    STARTED,
    /** The request is still running. */
    PROGRESS
}
