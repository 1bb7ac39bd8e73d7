package olivechute.tls;

import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509ExtendedKeyManager;
import javax.net.ssl.X509ExtendedTrustManager;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.TrustBundles;
import olivechute.identity.X509Check;
import olivechute.identity.X509Svid;

/**
 * TLS configuration and session cache of one identity of this node. A renewed identity gets a new context, so the
 * sessions of the old one are not resumed. Bundles and time are read at each handshake. In a resumed handshake the JDK
 * calls no trust manager, so the peer's chain from the original handshake is checked again.
 */
public final class TlsContext {
    private static final String[] TLS_1_3_ONLY = {"TLSv1.3"};
    private static final String[] TLS_1_3_AND_1_2 = {"TLSv1.3", "TLSv1.2"};
    private static final int SESSION_CACHE_SIZE = 512;

    private final SSLContext context;
    private final String[] protocols;
    private final Supplier<TrustBundles> bundles;
    private final Supplier<Instant> clock;
    private final AtomicLong chainChecks = new AtomicLong();

    /**
     * {@code chain}, leaf first, and {@code key} are this node's own; {@code allowTls12} allows TLS 1.2 in addition to
     * 1.3.
     */
    public TlsContext(
            List<X509Certificate> chain,
            PrivateKey key,
            boolean allowTls12,
            Supplier<TrustBundles> bundles,
            Supplier<Instant> clock) {
        this.protocols = allowTls12 ? TLS_1_3_AND_1_2 : TLS_1_3_ONLY;
        this.bundles = bundles;
        this.clock = clock;
        try {
            context = SSLContext.getInstance("TLS");
            context.init(
                    new KeyManager[] {new SvidKeyManager(chain.toArray(new X509Certificate[0]), key)},
                    new TrustManager[] {new SvidTrustManager()},
                    new SecureRandom());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("TLS is not available on this platform", e);
        }
        context.getClientSessionContext().setSessionCacheSize(SESSION_CACHE_SIZE);
        context.getServerSessionContext().setSessionCacheSize(SESSION_CACHE_SIZE);
    }

    /** Returns the state machine of an accepted connection; the client must present a certificate. */
    public TlsStateMachine server() {
        SSLEngine engine = context.createSSLEngine();
        engine.setUseClientMode(false);
        engine.setNeedClientAuth(true);
        engine.setEnabledProtocols(protocols);
        return new TlsStateMachine(engine, this);
    }

    /**
     * Returns the state machine of an outgoing connection. Sessions are cached by the peer's name and resumed only with
     * the same name.
     */
    public TlsStateMachine client(String peer, int port) {
        SSLEngine engine = context.createSSLEngine(peer, port);
        engine.setUseClientMode(true);
        engine.setEnabledProtocols(protocols);
        return new TlsStateMachine(engine, this);
    }

    /**
     * Returns the JDK's context for the blocking sockets of test doubles. On these sockets the peer of a resumed
     * session is not checked again.
     */
    public SSLContext sslContext() {
        return context;
    }

    /**
     * Returns the number of peer chains checked in full handshakes, whatever the result; a resumed handshake does not
     * count.
     */
    public long chainChecks() {
        return chainChecks.get();
    }

    /** Checks the peer's chain in a session against the current bundles and time and returns its identity. */
    X509Svid checkPeer(SSLSession session) throws IdentityRejectedException, SSLPeerUnverifiedException {
        List<X509Certificate> chain = new ArrayList<>();
        for (Certificate each : session.getPeerCertificates()) {
            chain.add((X509Certificate) each);
        }
        return X509Check.check(chain, bundles.get(), clock.get());
    }

    private void checkChain(X509Certificate[] chain) throws CertificateException {
        chainChecks.incrementAndGet();
        try {
            X509Check.check(List.of(chain), bundles.get(), clock.get());
        } catch (IdentityRejectedException e) {
            throw new CertificateException(e.getMessage());
        }
    }

    /** Checks the peer's chain by the X509-SVID standard on either side; host names are not checked. */
    private final class SvidTrustManager extends X509ExtendedTrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String authType, SSLEngine engine)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkClientTrusted(X509Certificate[] chain, String authType, Socket socket)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String authType, Socket socket)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkClientTrusted(X509Certificate[] chain, String authType) throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String authType) throws CertificateException {
            checkChain(chain);
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0]; // does not reveal the trusted authorities to an unauthenticated peer
        }
    }

    /** Presents the node's only key and chain to any peer. */
    private static final class SvidKeyManager extends X509ExtendedKeyManager {
        private static final String ALIAS = "svid";

        private final X509Certificate[] chain;
        private final PrivateKey key;

        SvidKeyManager(X509Certificate[] chain, PrivateKey key) {
            this.chain = chain;
            this.key = key;
        }

        private String alias(String keyType) {
            return key.getAlgorithm().equals(keyType) ? ALIAS : null;
        }

        private String alias(String[] keyTypes) {
            return List.of(keyTypes).contains(key.getAlgorithm()) ? ALIAS : null;
        }

        @Override
        public String chooseEngineClientAlias(String[] keyTypes, java.security.Principal[] issuers, SSLEngine engine) {
            return alias(keyTypes);
        }

        @Override
        public String chooseEngineServerAlias(String keyType, java.security.Principal[] issuers, SSLEngine engine) {
            return alias(keyType);
        }

        @Override
        public String chooseClientAlias(String[] keyTypes, java.security.Principal[] issuers, Socket socket) {
            return alias(keyTypes);
        }

        @Override
        public String chooseServerAlias(String keyType, java.security.Principal[] issuers, Socket socket) {
            return alias(keyType);
        }

        @Override
        public String[] getClientAliases(String keyType, java.security.Principal[] issuers) {
            return new String[] {ALIAS};
        }

        @Override
        public String[] getServerAliases(String keyType, java.security.Principal[] issuers) {
            return new String[] {ALIAS};
        }

        @Override
        public X509Certificate[] getCertificateChain(String alias) {
            return chain.clone();
        }

        @Override
        public PrivateKey getPrivateKey(String alias) {
            return key;
        }
    }
}
