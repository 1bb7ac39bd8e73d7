package olivechute.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.ResolvedEndpoint;

/** Decodes an endpoint list from JSON: an answer of discovery, or the initial list in the node's configuration. */
public final class EndpointListDecoder {
    private EndpointListDecoder() {}

    public static EndpointListUpdate parse(byte[] text) throws IOException {
        return decode(JsonFields.parse("list", text));
    }

    static EndpointListUpdate decode(JsonFields json) {
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        for (JsonFields element : json.nodes("endpoints")) {
            EndpointInfo info = new EndpointInfo(
                    element.text("name"),
                    element.textOr("zone", ""),
                    element.textOr("type", ""),
                    (int) element.integerOr("group", 0),
                    LoadBalancerSettingsDecoder.state(element),
                    element.numberOr("weight", 1),
                    element.integerOr("since_ms", 0) * 1000);
            Address.parse("address", element.text("address")); // an invalid address rejects the whole list
            endpoints.add(new ResolvedEndpoint(info, element.text("address")));
        }
        return new EndpointListUpdate(json.integer("index"), json.flag("snapshot"), endpoints);
    }
}
