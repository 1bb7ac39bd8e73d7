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

/** Whether a program is what a version says. */
final class ArtifactVerifier {
    private ArtifactVerifier() {}

    /**
     * PROGRAM_MISSING where the file is not there or has another SHA-256 digest; an empty one is not asked for. Gives
     * its digest.
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
                    program + " has the digest " + actualDigest + ", wanted is " + expectedDigest);
        }
        return actualDigest;
    }

    /** SHA-256 in hexadecimal digits. */
    static String sha256(Path file) throws IOException {
        try (InputStream in = new DigestInputStream(Files.newInputStream(file), MessageDigest.getInstance("SHA-256"))) {
            in.transferTo(java.io.OutputStream.nullOutputStream());
            return HexFormat.of()
                    .formatHex(((DigestInputStream) in).getMessageDigest().digest());
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("SHA-256 is in every Java", e);
        }
    }
}
