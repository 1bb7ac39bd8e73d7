import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509ExtendedTrustManager;

/** TLS with a document that the project's issuer wrote. The stand-ins accept any peer; the node is the one that checks. */
final class Tls {
    private Tls() {}

    /** The context of a workload whose folder holds svid.pem and svid_key.pem. */
    static SSLContext context(Path folder) throws IOException, GeneralSecurityException {
        Certificate[] chain = CertificateFactory.getInstance("X.509")
                .generateCertificates(new ByteArrayInputStream(Files.readAllBytes(folder.resolve("svid.pem"))))
                .toArray(new Certificate[0]);
        String pem = Files.readString(folder.resolve("svid_key.pem"), StandardCharsets.US_ASCII);
        byte[] der = Base64.getMimeDecoder().decode(pem.replaceAll("-----[A-Z ]+-----", ""));
        PrivateKey key = KeyFactory.getInstance(chain[0].getPublicKey().getAlgorithm())
                .generatePrivate(new PKCS8EncodedKeySpec(der));
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        store.setKeyEntry("own", key, new char[0], chain);
        KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keys.init(store, new char[0]);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keys.getKeyManagers(), new TrustManager[] {new AnyPeer()}, new SecureRandom());
        return context;
    }

    /** A listener on a free port of 127.0.0.1 whose clients must present a document. */
    static SSLServerSocket listener(SSLContext context) throws IOException {
        SSLServerSocket listener = (SSLServerSocket) context.getServerSocketFactory().createServerSocket();
        listener.setNeedClientAuth(true);
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        return listener;
    }

    private static final class AnyPeer extends X509ExtendedTrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket) {}

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket) {}

        @Override
        public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine) {}

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine) {}

        @Override
        public void checkClientTrusted(X509Certificate[] chain, String type) {}

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String type) {}

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
