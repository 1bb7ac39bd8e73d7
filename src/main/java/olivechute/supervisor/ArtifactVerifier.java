package olivechute.supervisor;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import olivechute.error.ErrorCode;
import olivechute.error.SupervisionException;

/** Checks a node's jar against the digest that its version demands. */
final class ArtifactVerifier {
    private ArtifactVerifier() {}

    /**
     * Returns the SHA-256 digest of the program in hexadecimal. Throws PROGRAM_MISSING if the file cannot be read or
     * has another digest than expected; an empty expected digest accepts any.
     */
    static String verify(String program, String expectedDigest) throws SupervisionException {
        Path path = Path.of(program);
        if (!Files.isReadable(path)) {
            throw new SupervisionException(ErrorCode.PROGRAM_MISSING, program + " cannot be read");
        }
        String actualDigest;
        try {
            actualDigest = sha256(path);
        } catch (IOException e) {
            throw new SupervisionException(ErrorCode.PROGRAM_MISSING, program + ": " + e, e);
        }
        if (!expectedDigest.isEmpty() && !actualDigest.equalsIgnoreCase(expectedDigest)) {
            throw new SupervisionException(
                    ErrorCode.PROGRAM_MISSING,
                    program + " has the digest " + actualDigest + ", expected " + expectedDigest);
        }
        return actualDigest;
    }

    /** Returns the SHA-256 digest of a file in hexadecimal. */
    static String sha256(Path file) throws IOException {
        try (InputStream in = new DigestInputStream(Files.newInputStream(file), MessageDigest.getInstance("SHA-256"))) {
            in.transferTo(java.io.OutputStream.nullOutputStream());
            return HexFormat.of()
                    .formatHex(((DigestInputStream) in).getMessageDigest().digest());
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform provides SHA-256", e);
        }
    }
}
