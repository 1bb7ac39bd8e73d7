package olivechute.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import olivechute.authorization.ClientAuthorization;
import olivechute.authorization.EndpointIdentityRules;
import olivechute.authorization.SpiffeIdPattern;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;

/**
 * Operator settings under {@code identity}: the node's own SPIFFE identity, where its SVIDs and trust bundles come
 * from, and which identities clients and endpoints may have.
 */
@SuppressWarnings("ReferenceEquality") // compares for the same object or both null
public record IdentitySettings(
        String trustDomain, Source source, Tls tls, Downstream downstream, boolean upstreamTls, Rules rules) {
    private static final Duration SECOND = Duration.ofSeconds(1);

    /** Source of SVIDs and trust bundles. */
    public enum Kind {
        FOLDER,
        WORKLOAD_API
    }

    /**
     * {@code folder} is null for a Workload API source, {@code socketPath} and {@code socketAddress} for a folder; a
     * Workload API socket is either a Unix path or a loopback TCP address.
     */
    public record Source(
            Kind kind,
            Path folder,
            Duration pollInterval,
            Path socketPath,
            InetSocketAddress socketAddress,
            String svidHint) {}

    /**
     * TLS options: {@code allowTls12} accepts TLS 1.2 beside 1.3, and {@code maxConcurrentHandshakes} bounds the
     * handshakes that may compute at the same time, separately for downstream and upstream.
     */
    public record Tls(boolean allowTls12, int maxConcurrentHandshakes, Duration downstreamHandshakeTimeout) {}

    /**
     * Which downstream listeners exist: plaintext only, TLS on the platform's address, or TLS on a separate address
     * beside it.
     */
    public enum Mode {
        OFF,
        ONLY,
        BESIDE
    }

    /** {@code tlsListen} is null except for {@link Mode#BESIDE}. */
    public record Downstream(Mode mode, InetSocketAddress tlsListen) {}

    /**
     * Authorization rules, which a reload may change. {@code audience} is null if JWT-SVIDs are not accepted;
     * {@code trustedProxies} may forward them, and {@code allowPlaintextProxies} accepts forwarded ones on a plaintext
     * listener.
     */
    public record Rules(
            ClientAuthorization clientAuthorization,
            EndpointIdentityRules endpointIdentities,
            String audience,
            List<SpiffeIdPattern> trustedProxies,
            boolean allowPlaintextProxies) {}

    /** Reads the settings; returns null if identities are off. Errors are added to the file's error list. */
    static IdentitySettings read(HoconObject object) {
        boolean enabled = object.flag("enabled", false);
        String domain = enabled ? object.requiredText("trust_domain") : object.text("trust_domain", "");
        if (!domain.isEmpty()) {
            try {
                SpiffeId.trustDomain(domain);
            } catch (IdentityRejectedException e) {
                object.addError("trust_domain", "must be a trust domain: " + e.getMessage());
            }
        }
        IdentitySettings settings = new IdentitySettings(
                domain,
                source(object.node("source"), enabled),
                tls(object.node("tls")),
                downstream(object.node("downstream")),
                object.flag("upstream", false),
                rules(object));
        if (enabled && settings.downstream.mode == Mode.OFF && !settings.upstreamTls) {
            object.addError("enabled", "neither downstream.mode nor upstream says where identities are used");
        }
        if (settings.rules.allowPlaintextProxies && settings.downstream.mode == Mode.ONLY) {
            object.addError("jwt", "plain needs a plain listener, which downstream.mode = only leaves out");
        }
        object.rejectUnknownKeys();
        return enabled ? settings : null;
    }

    private static Source source(HoconObject object, boolean enabled) {
        Kind kind = object.keyword("kind", Kind.FOLDER);
        String folder = object.text("folder", "");
        String socket = object.text("socket", "");
        Duration poll = object.duration("poll", SECOND, Duration.ofMillis(50), Duration.ofHours(1));
        InetSocketAddress address = null;
        Path path = null;
        if (socket.startsWith("tcp://")) {
            address = object.convert("socket", key -> Address.parse(key, socket.substring("tcp://".length())));
            if (address != null && !address.getAddress().isLoopbackAddress()) {
                object.addError("socket", "must be a Unix socket or a loopback address");
            }
        } else if (!socket.isEmpty()) {
            path = Path.of(socket.startsWith("unix:") ? socket.substring("unix:".length()) : socket);
        }
        if (enabled && kind == Kind.FOLDER && folder.isEmpty()) {
            object.addError("folder", "missing, must name the folder of svid.pem, svid_key.pem and bundle.pem");
        }
        if (enabled && kind == Kind.WORKLOAD_API && socket.isEmpty()) {
            object.addError("socket", "missing, must be unix:PATH or tcp://ADDRESS:PORT");
        }
        Source source = new Source(
                kind, folder.isEmpty() ? null : Path.of(folder), poll, path, address, object.text("hint", ""));
        object.rejectUnknownKeys();
        return source;
    }

    private static Tls tls(HoconObject object) {
        Tls tls = new Tls(
                object.flag("allow_1_2", false),
                object.integer("handshakes_at_once", 4, 1, 256),
                object.duration(
                        "downstream_handshake",
                        SECOND.multipliedBy(2),
                        Duration.ofMillis(100),
                        Duration.ofSeconds(30)));
        object.rejectUnknownKeys();
        return tls;
    }

    private static Downstream downstream(HoconObject object) {
        Mode mode = object.keyword("mode", Mode.OFF);
        String listen = object.text("listen", "");
        InetSocketAddress address = null;
        if (!listen.isEmpty()) {
            address = object.convert("listen", key -> Address.parse(key, listen));
        }
        if ((mode == Mode.BESIDE) == listen.isEmpty()) {
            object.addError(
                    "listen",
                    mode == Mode.BESIDE
                            ? "missing, mode = beside needs an address of its own"
                            : "only mode = beside has one");
        }
        object.rejectUnknownKeys();
        return new Downstream(mode, address);
    }

    private static Rules rules(HoconObject object) {
        List<ClientAuthorization.Rule> clients = new ArrayList<>();
        for (HoconObject rule : object.nodes("clients")) {
            String id = rule.requiredText("id");
            List<String> tenants = rule.textList("tenants");
            SpiffeIdPattern pattern = rule.convert("id", key -> SpiffeIdPattern.parse(key, id));
            if (!rule.has("tenants")) {
                rule.addError("tenants", "missing, must be a list of texts; [\"*\"] for any tenant");
            } else if (tenants.isEmpty() || (tenants.contains("*") && tenants.size() > 1)) {
                rule.addError("tenants", "must name tenants, or \"*\" alone for any");
            }
            rule.rejectUnknownKeys();
            if (pattern != null) {
                clients.add(
                        new ClientAuthorization.Rule(pattern, tenants.contains("*") ? Set.of() : Set.copyOf(tenants)));
            }
        }
        List<EndpointIdentityRules.Rule> hosts = new ArrayList<>();
        for (HoconObject rule : object.nodes("hosts")) {
            String host = rule.requiredText("host");
            String id = rule.requiredText("id");
            EndpointIdentityRules.Rule parsed = rule.convert(
                    "host", key -> EndpointIdentityRules.Rule.parse(key.substring(0, key.lastIndexOf('.')), host, id));
            rule.rejectUnknownKeys();
            if (parsed != null) {
                hosts.add(parsed);
            }
        }
        HoconObject jwt = object.node("jwt");
        List<SpiffeIdPattern> proxies = new ArrayList<>();
        for (String text : jwt.textList("proxies")) {
            SpiffeIdPattern proxy = jwt.convert("proxies", key -> SpiffeIdPattern.parse(key, text));
            if (proxy != null) {
                proxies.add(proxy);
            }
        }
        String audience = jwt.text("audience", "");
        boolean plain = jwt.flag("plain", false);
        if (audience.isEmpty() && (plain || !proxies.isEmpty())) {
            jwt.addError("audience", "missing, must be the audience of the tokens");
        }
        jwt.rejectUnknownKeys();
        return new Rules(
                new ClientAuthorization(clients),
                new EndpointIdentityRules(hosts),
                audience.isEmpty() ? null : audience,
                List.copyOf(proxies),
                plain);
    }

    /** Describes for operators where identities are used, and which key turns each use off. */
    String describe() {
        String clients =
                switch (downstream.mode) {
                    case OFF -> "off for clients, as downstream.mode is off";
                    case ONLY -> "required of every client";
                    case BESIDE -> "required of clients at " + downstream.tlsListen + " only";
                };
        return "identities: " + clients + "; "
                + (upstreamTls ? "required of every sign worker" : "off for sign workers, as upstream is false")
                + "; tokens "
                + (rules.audience == null ? "off, as jwt.audience is not given" : "for " + rules.audience);
    }

    /** Returns the keys whose values differ but cannot change while a node runs. */
    static List<String> restartRequiredKeys(IdentitySettings now, IdentitySettings before) {
        if (now == null || before == null) {
            return now == before ? List.of() : List.of("identity.enabled");
        }
        List<String> keys = new ArrayList<>();
        NodeConfig.note(keys, "identity.trust_domain", now.trustDomain, before.trustDomain);
        NodeConfig.note(keys, "identity.source", now.source, before.source);
        NodeConfig.note(keys, "identity.tls", now.tls, before.tls);
        NodeConfig.note(keys, "identity.downstream", now.downstream, before.downstream);
        NodeConfig.note(keys, "identity.upstream", now.upstreamTls, before.upstreamTls);
        NodeConfig.note(
                keys, "identity.jwt.plain", now.rules.allowPlaintextProxies, before.rules.allowPlaintextProxies);
        return keys;
    }
}
