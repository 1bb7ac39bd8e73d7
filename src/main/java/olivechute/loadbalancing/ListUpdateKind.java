package olivechute.loadbalancing;

/** Kind of an update of the endpoint list. */
public enum ListUpdateKind {
    /** Contains only the endpoints that changed. */
    DELTA,
    /** Contains all endpoints. */
    FULL,
    /** Contains all endpoints as last known to an earlier process; may be out of date. */
    RESTORED,
    /** The call for the list failed. */
    FAILED
}
