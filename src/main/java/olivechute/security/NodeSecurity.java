package olivechute.security;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.concurrent.Semaphore;
import java.util.function.Supplier;
import olivechute.config.IdentitySettings;
import olivechute.config.IdentitySettings.Kind;
import olivechute.config.IdentitySettings.Mode;
import olivechute.config.IdentitySettings.Rules;
import olivechute.downstream.PeerIdentity;
import olivechute.http.HttpRequest;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;
import olivechute.identity.X509Svid;
import olivechute.net.Connection;
import olivechute.svid.FolderSvidSource;
import olivechute.svid.WorkloadApiSvidSource;
import olivechute.upstream.Connector;

/**
 * Applies the identity settings to both sides of a node: authenticates downstream connections and requests, and
 * connects to upstream endpoints over TLS.
 */
public final class NodeSecurity {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final String AUTHORIZATION = "Authorization";

    private final IdentitySettings settings;
    private final IdentityManager identities;
    /**
     * Handshake permits, separate for each side: endpoints that reconnect together must not wait behind clients, nor
     * clients behind endpoints.
     */
    private final Semaphore acceptPermits;

    private final Semaphore dialPermits;
    private final TokenVerifier tokens = new TokenVerifier();
    private volatile Rules rules;
    private WorkloadApiSvidSource workloadApiSource; // null if the SVID source is a folder

    /** Creates the identities and permits from the settings. {@code clock} may step forward or back. */
    public NodeSecurity(IdentitySettings settings, Supplier<Instant> clock) {
        this.settings = settings;
        this.rules = settings.rules();
        this.acceptPermits = new Semaphore(settings.tls().maxConcurrentHandshakes(), true);
        this.dialPermits = new Semaphore(settings.tls().maxConcurrentHandshakes(), true);
        try {
            identities =
                    new IdentityManager(settings.trustDomain(), settings.tls().allowTls12(), clock);
        } catch (IdentityRejectedException e) {
            throw new IllegalArgumentException("identity.trust_domain: " + e.getMessage());
        }
    }

    /** Starts the SVID source. A folder is read once before this returns, and then polled. */
    public void start() {
        IdentitySettings.Source source = settings.source();
        if (source.kind() == Kind.FOLDER) {
            FolderSvidSource folder = new FolderSvidSource(source.folder(), settings.trustDomain());
            folder.poll(identities);
            folder.start(identities, source.pollInterval());
        } else {
            workloadApiSource = new WorkloadApiSvidSource(
                    source.socketPath() == null
                            ? source.socketAddress()
                            : UnixDomainSocketAddress.of(source.socketPath()),
                    source.svidHint(),
                    settings.rules().audience() != null,
                    new SecureRandom());
            workloadApiSource.start(identities);
        }
    }

    /** Replaces the rules; they apply at once, also to open connections. */
    public void rules(Rules next) {
        rules = next;
    }

    /**
     * Logs when the identity is about to expire or has expired, and then reconnects to the Workload API if that is the
     * source. The node calls this periodically on its event loop.
     */
    public void warnOfExpiry() {
        if (identities.warnOfExpiry() && workloadApiSource != null) {
            workloadApiSource.reconnect(); // the connection may look open, but the renewal due has not arrived
        }
    }

    /** Connects to upstream endpoints over TLS; each must have the identity that the rules require of its name. */
    public Connector connector() {
        return host -> TlsConnection.client(identities, dialPermits, host, peer -> {
            if (!rules.endpointIdentities().matches(peer.id(), host)) {
                throw new IOException("endpoint " + host + " must be "
                        + rules.endpointIdentities().requiredId(host) + ", is " + peer.id());
            }
        });
    }

    /**
     * Returns the authenticator of the listen address in the node's configuration. The TLS listen address of the
     * identity settings has its own, {@link #tlsAuthenticator}.
     */
    public PeerIdentity.Authenticator platformAuthenticator() {
        return settings.downstream().mode() == Mode.ONLY
                ? tlsAuthenticator()
                : settings.rules().allowPlaintextProxies()
                        ? new TokenAuthenticator()
                        : PeerIdentity.Authenticator.PLAINTEXT;
    }

    /** Returns the authenticator of a TLS listen address. */
    public PeerIdentity.Authenticator tlsAuthenticator() {
        return new PeerIdentity.Authenticator() {
            @Override
            public Connection createTransport(SocketChannel accepted) {
                try {
                    return TlsConnection.server(accepted, identities, acceptPermits, (int)
                            settings.tls().downstreamHandshakeTimeout().toMillis());
                } catch (IOException noIdentity) {
                    return new RejectedConnection(accepted, noIdentity);
                }
            }

            @Override
            public PeerIdentity authenticate(Connection connection) throws IOException {
                X509Svid peer = ((TlsConnection) connection).peer();
                Rules currentRules = rules;
                if (!currentRules.clientAuthorization().isClient(peer.id())
                        && !currentRules.endpointIdentities().isEndpoint(peer.id())
                        && !isProxy(currentRules, peer.id())) {
                    String reason = "no rule matches " + peer.id();
                    RejectionLog.log(connection.socket().getRemoteSocketAddress(), reason);
                    throw new IOException(reason);
                }
                return new AuthenticatedPeer((TlsConnection) connection, peer.id());
            }
        };
    }

    /** A connection that fails when it is initialized, as this node has no valid identity to present. */
    private static final class RejectedConnection extends Connection {
        private final IOException reason;

        RejectedConnection(SocketChannel accepted, IOException reason) {
            super(accepted);
            this.reason = reason;
        }

        @Override
        public void initialize() throws IOException {
            RejectionLog.log(socket().getRemoteSocketAddress(), reason.getMessage());
            throw reason;
        }
    }

    private static boolean isProxy(Rules rules, SpiffeId id) {
        return rules.trustedProxies().stream().anyMatch(p -> p.matches(id));
    }

    /** A peer that was authenticated by the certificate of its TLS connection. */
    private final class AuthenticatedPeer implements PeerIdentity {
        private final TlsConnection connection;
        private final SpiffeId id;

        AuthenticatedPeer(TlsConnection connection, SpiffeId id) {
            this.connection = connection;
            this.id = id;
        }

        @Override
        public Rejection checkRequest(HttpRequest message, String tenant) {
            if (!connection.isPeerIdentityValid()) {
                return connection.isOwnIdentityExpired()
                        ? new Rejection(503, "this node has no identity that holds")
                        : new Rejection(403, "the identity of this connection holds no more");
            }
            return isProxy(rules, id) ? checkToken(message, tenant) : checkClient(id, tenant);
        }

        @Override
        public boolean mayReportJobStatus(String host) {
            return rules.endpointIdentities().matches(id, host);
        }
    }

    private PeerIdentity.Rejection checkClient(SpiffeId id, String tenant) {
        if (rules.clientAuthorization().allows(id, tenant)) {
            return null;
        }
        RejectionLog.log(id, "no rule allows it to submit jobs of tenant " + tenant);
        return new PeerIdentity.Rejection(403, "X-Org: not a tenant of this identity");
    }

    private PeerIdentity.Rejection checkToken(HttpRequest message, String tenant) {
        String authorization = message.headers().hasSeveral(AUTHORIZATION)
                ? null
                : message.headers().get(AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            return new PeerIdentity.Rejection(403, "Authorization: one bearer token is needed");
        }
        try {
            SpiffeId id = tokens.check(
                            authorization.substring(BEARER_PREFIX.length()),
                            rules.audience(),
                            identities.bundles(),
                            identities.now())
                    .id();
            return checkClient(id, tenant);
        } catch (IdentityRejectedException e) {
            RejectionLog.log("a token", e.getMessage());
            return new PeerIdentity.Rejection(403, "Authorization: the token does not hold");
        }
    }

    /**
     * Authenticates plaintext connections from a trusted proxy that terminates TLS: each request must carry a token,
     * and endpoints cannot be told apart by their connection.
     */
    private final class TokenAuthenticator implements PeerIdentity.Authenticator, PeerIdentity {
        @Override
        public PeerIdentity authenticate(Connection connection) {
            return this;
        }

        @Override
        public Rejection checkRequest(HttpRequest message, String tenant) {
            return checkToken(message, tenant);
        }

        @Override
        public boolean mayReportJobStatus(String host) {
            return settings.downstream().mode() == Mode.OFF;
        }
    }
}
