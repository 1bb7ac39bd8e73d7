package olivechute.proxy;

import java.util.List;

/**
 * An update of the endpoint list, as discovery sent it or as the node's configuration holds it.
 *
 * @param version discovery's version of the list
 * @param complete whether {@code endpoints} is the full list; otherwise it holds only the endpoints that changed
 */
public record EndpointListUpdate(long version, boolean complete, List<ResolvedEndpoint> endpoints) {}
