package olivechute.testca;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.List;

/**
 * A workload's documents in a folder, as helper tools write them and nodes read them: each file is replaced in one
 * step.
 */
public final class TrustDirectory {
    private final Path folder;

    /** Made if it is not there. */
    public TrustDirectory(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /** The key goes first: whoever reads in between finds a key that is not that of the document, and looks again. */
    public TrustDirectory svid(CertificateAuthority.Issued issued) throws IOException {
        if (issued.key() != null) {
            PemWriter.write(folder.resolve("svid_key.pem"), issued.key());
        }
        PemWriter.write(folder.resolve("svid.pem"), issued.chain());
        return this;
    }

    /** The authorities of the workload's own domain. */
    public TrustDirectory bundle(List<X509Certificate> authorities) throws IOException {
        PemWriter.write(folder.resolve("bundle.pem"), authorities);
        return this;
    }

    /** The authorities of a domain that the workload's is federated with. */
    public TrustDirectory federated(String domain, List<X509Certificate> authorities) throws IOException {
        PemWriter.write(Files.createDirectories(folder.resolve("federated")).resolve(domain + ".pem"), authorities);
        return this;
    }

    /** The keys of the workload's own domain that sign tokens, as a key set. */
    public TrustDirectory keys(String jwks) throws IOException {
        PemWriter.replaceFile(folder.resolve("bundle.jwks"), jwks);
        return this;
    }
}
