package olivechute.testca;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.PrivateKey;
import java.security.cert.CertificateEncodingException;
import java.security.cert.X509Certificate;
import java.util.Base64;
import java.util.List;
import java.util.Set;

/**
 * Writes certificates and keys as PEM files. Each file is replaced atomically, so that a reader sees either the old or
 * the new content.
 */
final class PemWriter {
    private static final int COLUMNS = 64;
    private static final byte[] LINE_END = {'\n'};
    private static final Set<PosixFilePermission> OWNER_ONLY = PosixFilePermissions.fromString("rw-------");

    private PemWriter() {}

    static void write(Path file, List<X509Certificate> chain) throws IOException {
        replaceFile(file, text(chain));
    }

    static String text(List<X509Certificate> chain) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            for (X509Certificate each : chain) {
                text.append(block("CERTIFICATE", each.getEncoded()));
            }
        } catch (CertificateEncodingException e) {
            throw new IOException(e.getMessage(), e);
        }
        return text.toString();
    }

    static String text(PrivateKey key) {
        return block("PRIVATE KEY", key.getEncoded());
    }

    /** Writes a PKCS#8 key to a file that only its owner may read. */
    static void write(Path file, PrivateKey key) throws IOException {
        replaceFile(file, text(key));
    }

    private static String block(String type, byte[] der) {
        return "-----BEGIN " + type + "-----\n"
                + Base64.getMimeEncoder(COLUMNS, LINE_END).encodeToString(der) + "\n-----END " + type + "-----\n";
    }

    static void replaceFile(Path file, String text) throws IOException {
        Path temporary = Files.createTempFile(
                file.toAbsolutePath().getParent(),
                file.getFileName().toString(),
                ".next",
                PosixFilePermissions.asFileAttribute(OWNER_ONLY));
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
