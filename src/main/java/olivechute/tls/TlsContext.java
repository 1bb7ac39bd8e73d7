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
 * One identity of our own and the sessions that were made under it. When the identity is renewed, a new context takes
 * its place and the old sessions with it. Bundles and moment are asked for at each handshake, a resumed one too: there
 * the platform asks nobody, so the peer's chain of the first is judged again.
 */
public final class TlsContext {
    /** Both versions that are spoken; the older one only where the settings say so. */
    private static final String[] TLS_1_3_ONLY = {"TLSv1.3"};

    private static final String[] TLS_1_3_AND_1_2 = {"TLSv1.3", "TLSv1.2"};
    private static final int SESSION_CACHE_SIZE = 512;

    private final SSLContext context;
    private final String[] protocols;
    private final Supplier<TrustBundles> bundles;
    private final Supplier<Instant> clock;
    private final AtomicLong chainChecks = new AtomicLong();

    /** {@code chain} and {@code key} are our own, the leaf first; {@code lenient} lets TLS 1.2 in beside 1.3. */
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
            throw new IllegalStateException("this platform has no TLS", e);
        }
        context.getClientSessionContext().setSessionCacheSize(SESSION_CACHE_SIZE);
        context.getServerSessionContext().setSessionCacheSize(SESSION_CACHE_SIZE);
    }

    /** For a connection that was accepted; the client must show an identity. */
    public TlsStateMachine server() {
        SSLEngine engine = context.createSSLEngine();
        engine.setUseClientMode(false);
        engine.setNeedClientAuth(true);
        engine.setEnabledProtocols(protocols);
        return new TlsStateMachine(engine, this);
    }

    /** For one that is dialled; sessions are kept by the peer's name, and resumed with the same name only. */
    public TlsStateMachine client(String peer, int port) {
        SSLEngine engine = context.createSSLEngine(peer, port);
        engine.setUseClientMode(true);
        engine.setEnabledProtocols(protocols);
        return new TlsStateMachine(engine, this);
    }

    /** For blocking sockets of the platform's, as stand-ins use them: a resumed session is not judged again there. */
    public SSLContext sslContext() {
        return context;
    }

    /** Full handshakes in which a peer's chain was judged, whatever came out: a resumed one has none. */
    public long chainChecks() {
        return chainChecks.get();
    }

    /** The peer's identity in a session, as it is judged now. */
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

    /** Asks our own judgement of either side; names of hosts play no part in it. */
    private final class SvidTrustManager extends X509ExtendedTrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String kind, SSLEngine engine)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String kind, SSLEngine engine)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkClientTrusted(X509Certificate[] chain, String kind, Socket socket)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String kind, Socket socket)
                throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkClientTrusted(X509Certificate[] chain, String kind) throws CertificateException {
            checkChain(chain);
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String kind) throws CertificateException {
            checkChain(chain);
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0]; // says nothing of whom we trust to who is not known yet
        }
    }

    /** The one key that we have, for whoever asks. */
    private static final class SvidKeyManager extends X509ExtendedKeyManager {
        private static final String ALIAS = "svid";

        private final X509Certificate[] chain;
        private final PrivateKey key;

        SvidKeyManager(X509Certificate[] chain, PrivateKey key) {
            this.chain = chain;
            this.key = key;
        }

        private String alias(String kind) {
            return key.getAlgorithm().equals(kind) ? ALIAS : null;
        }

        private String alias(String[] kinds) {
            return List.of(kinds).contains(key.getAlgorithm()) ? ALIAS : null;
        }

        @Override
        public String chooseEngineClientAlias(String[] kinds, java.security.Principal[] issuers, SSLEngine engine) {
            return alias(kinds);
        }

        @Override
        public String chooseEngineServerAlias(String kind, java.security.Principal[] issuers, SSLEngine engine) {
            return alias(kind);
        }

        @Override
        public String chooseClientAlias(String[] kinds, java.security.Principal[] issuers, Socket socket) {
            return alias(kinds);
        }

        @Override
        public String chooseServerAlias(String kind, java.security.Principal[] issuers, Socket socket) {
            return alias(kind);
        }

        @Override
        public String[] getClientAliases(String kind, java.security.Principal[] issuers) {
            return new String[] {ALIAS};
        }

        @Override
        public String[] getServerAliases(String kind, java.security.Principal[] issuers) {
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
