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

/** Identities for both sides of a node, as the operators' settings say. */
public final class NodeSecurity {
    private static final String SCHEME = "Bearer ";
    private static final String AUTHORIZATION = "Authorization";

    private final IdentitySettings settings;
    private final IdentityManager identities;
    /** One for each side: hosts that come back together must not wait behind clients, nor clients behind them. */
    private final Semaphore acceptPermits;

    private final Semaphore dialPermits;
    private final TokenVerifier tokens = new TokenVerifier();
    private volatile Rules rules;
    private WorkloadApiSvidSource workloadApiSource; // null where the source is another

    /** Under this clock, which may step either way. */
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

    /** Asks the source for the first time, and has it go on from then. */
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

    /** Other rules from now on, for connections that are open too. */
    public void rules(Rules next) {
        rules = next;
    }

    /** Tells in the log of an identity that runs out; to be called now and then, on one thread. */
    public void warnOfExpiry() {
        if (identities.warnOfExpiry() && workloadApiSource != null) {
            workloadApiSource.reconnect(); // it is connected, or seems to be, and yet has not renewed what is due
        }
    }

    /** To upstream hosts, each of which must be who its name asks for. */
    public Connector connector() {
        return host -> TlsConnection.client(identities, dialPermits, host, peer -> {
            if (!rules.endpointIdentities().matches(peer.id(), host)) {
                throw new IOException("host " + host + " must be "
                        + rules.endpointIdentities().requiredId(host) + ", is " + peer.id());
            }
        });
    }

    /** At the platform's address. */
    public PeerIdentity.Authenticator platformAuthenticator() {
        return settings.downstream().mode() == Mode.ONLY
                ? tlsAuthenticator()
                : settings.rules().allowPlaintextProxies()
                        ? new TokenAuthenticator()
                        : PeerIdentity.Authenticator.PLAINTEXT;
    }

    /** At an address where TLS is spoken. */
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
            public PeerIdentity authenticate(Connection link) throws IOException {
                X509Svid peer = ((TlsConnection) link).peer();
                Rules now = rules;
                if (!now.clientAuthorization().isClient(peer.id())
                        && !now.endpointIdentities().isEndpoint(peer.id())
                        && !isProxy(now, peer.id())) {
                    String reason = "no rule is about " + peer.id();
                    RejectionLog.log(link.socket().getRemoteSocketAddress(), reason);
                    throw new IOException(reason);
                }
                return new AuthenticatedPeer((TlsConnection) link, peer.id());
            }
        };
    }

    /** A connection that goes no further, as we cannot say who we are. */
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

    /** Somebody whose identity is known by its connection. */
    private final class AuthenticatedPeer implements PeerIdentity {
        private final TlsConnection connection;
        private final SpiffeId id;

        AuthenticatedPeer(TlsConnection link, SpiffeId id) {
            this.connection = link;
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
        RejectionLog.log(id, "no rule lets it hand in jobs of tenant " + tenant);
        return new PeerIdentity.Rejection(403, "X-Org: not a tenant of this identity");
    }

    private PeerIdentity.Rejection checkToken(HttpRequest message, String tenant) {
        String authorization = message.headers().hasSeveral(AUTHORIZATION)
                ? null
                : message.headers().get(AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return new PeerIdentity.Rejection(403, "Authorization: one bearer token is needed");
        }
        try {
            SpiffeId id = tokens.check(
                            authorization.substring(SCHEME.length()),
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
     * Behind a proxy of our own that ends TLS: whoever comes shows a token with each job, and no host can be told from
     * another.
     */
    private final class TokenAuthenticator implements PeerIdentity.Authenticator, PeerIdentity {
        @Override
        public PeerIdentity authenticate(Connection link) {
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
