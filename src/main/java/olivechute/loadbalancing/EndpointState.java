package olivechute.loadbalancing;

/** State of an endpoint in the endpoint list of the discovery service. */
public enum EndpointState {
    /** Accepts new requests. */
    ACTIVE,
    /** Shuts down gracefully; nothing new may be sent to it after the drain grace period. */
    DRAINING,
    /** No longer listed. */
    REMOVED
}
