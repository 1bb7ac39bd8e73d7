package olivechute.loadbalancing;

/**
 * An entry of the endpoint list.
 *
 * @param name name of the endpoint to which requests are sent
 * @param zone zone of the endpoint, or {@code null}
 * @param kind machine type
 * @param cell cell within the zone
 * @param state state of the endpoint in the list
 * @param weight capacity hint of the list; not used for decisions
 * @param startedAtUs start time of its process, in microseconds on the node's clock; 0 if long ago or unknown
 */
public record EndpointInfo(
        String name, String zone, String kind, int cell, EndpointState state, double weight, long startedAtUs) {}
