package olivechute.testca;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.List;

/**
 * Writes a workload's SVID and trust bundles to a folder in the form that nodes read. Each file is replaced atomically.
 */
public final class TrustDirectory {
    private final Path folder;

    /** Creates the folder if it does not exist. */
    public TrustDirectory(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /**
     * Writes the key before the chain: a reader in between finds a key that does not belong to the certificate, rejects
     * both and reads again.
     */
    public TrustDirectory svid(CertificateAuthority.Issued issued) throws IOException {
        if (issued.key() != null) {
            PemWriter.write(folder.resolve("svid_key.pem"), issued.key());
        }
        PemWriter.write(folder.resolve("svid.pem"), issued.chain());
        return this;
    }

    /** Writes the authorities of the workload's own trust domain. */
    public TrustDirectory bundle(List<X509Certificate> authorities) throws IOException {
        PemWriter.write(folder.resolve("bundle.pem"), authorities);
        return this;
    }

    /** Writes the authorities of a federated trust domain. */
    public TrustDirectory federated(String domain, List<X509Certificate> authorities) throws IOException {
        PemWriter.write(Files.createDirectories(folder.resolve("federated")).resolve(domain + ".pem"), authorities);
        return this;
    }

    /** Writes the key set that verifies the tokens of the workload's own trust domain. */
    public TrustDirectory keys(String jwks) throws IOException {
        PemWriter.replaceFile(folder.resolve("bundle.jwks"), jwks);
        return this;
    }
}
