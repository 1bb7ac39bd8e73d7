package olivechute.proxy;

import olivechute.loadbalancing.EndpointInfo;

/** An endpoint as discovery lists it, and the address at which this node connects to it, in the form ADDRESS:PORT. */
public record ResolvedEndpoint(EndpointInfo info, String address) {}
