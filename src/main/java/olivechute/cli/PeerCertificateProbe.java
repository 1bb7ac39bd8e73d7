package olivechute.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;

/**
 * Connects to a TLS peer and records the certificate chain that it presents. It sends no application data and validates
 * nothing. Blocks the calling thread.
 */
final class PeerCertificateProbe {
    private static final int TIMEOUT_MILLIS = 3000;

    private PeerCertificateProbe() {}

    /**
     * Returns the certificates that the peer presents, valid or not; {@code ownIdentity} is the client certificate, or
     * null.
     */
    static List<X509Certificate> presentedChain(InetSocketAddress address, KeyStore.PrivateKeyEntry ownIdentity)
            throws IOException {
        RecordingTrustManager trustManager = new RecordingTrustManager();
        try {
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(
                    ownIdentity == null ? null : keyManagers(ownIdentity),
                    new TrustManager[] {trustManager},
                    new SecureRandom());
            try (SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket()) {
                socket.connect(address, TIMEOUT_MILLIS);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.startHandshake();
            } catch (IOException e) {
                if (trustManager.chain.isEmpty()) {
                    throw new IOException(address + ": " + e.getMessage(), e); // otherwise the chain is known
                }
            }
            return trustManager.chain;
        } catch (GeneralSecurityException e) {
            throw new IOException(address + ": " + e.getMessage(), e);
        }
    }

    private static KeyManager[] keyManagers(KeyStore.PrivateKeyEntry ownIdentity)
            throws GeneralSecurityException, IOException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, new char[0]);
        store.setEntry("svid", ownIdentity, new KeyStore.PasswordProtection(new char[0]));
        KeyManagerFactory factory = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        factory.init(store, new char[0]);
        return factory.getKeyManagers();
    }

    private static final class RecordingTrustManager implements X509TrustManager {
        private List<X509Certificate> chain = new ArrayList<>();

        @Override
        public void checkClientTrusted(X509Certificate[] certificates, String authType) {
            throw new IllegalStateException("used for client connections only");
        }

        @Override
        public void checkServerTrusted(X509Certificate[] certificates, String authType) {
            chain = List.of(certificates);
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
