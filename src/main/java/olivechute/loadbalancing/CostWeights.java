package olivechute.loadbalancing;

/**
 * Costs of actions, each as a fraction of the value of one request.
 *
 * @param crossZone cost of an attempt at an endpoint in another zone
 * @param probe cost of a probe
 * @param handshake cost of a new connection
 * @param connection cost of open connections; charged in full at a mean of 100 open connections per endpoint
 */
public record CostWeights(double crossZone, double probe, double handshake, double connection) {}
