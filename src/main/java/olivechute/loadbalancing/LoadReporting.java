package olivechute.loadbalancing;

/** How load reports reach the node. */
public enum LoadReporting {
    /** There are no load reports. */
    NONE,
    /** Only in the response to a probe. */
    ON_PROBE,
    /** With the endpoints' responses. */
    WITH_RESPONSES
}
