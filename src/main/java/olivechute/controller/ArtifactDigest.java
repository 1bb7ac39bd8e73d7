package olivechute.controller;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.ZipFile;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;

/** SHA-256 digests of the jars that versions refer to. */
final class ArtifactDigest {
    private ArtifactDigest() {}

    /** The SHA-256 of a jar in hexadecimal digits; PROGRAM_MISSING if it cannot be read or is not a jar. */
    static String digest(Path jar) throws RolloutException {
        try (ZipFile zip = new ZipFile(jar.toFile());
                InputStream in =
                        new DigestInputStream(Files.newInputStream(jar), MessageDigest.getInstance("SHA-256"))) {
            if (zip.getEntry("META-INF/MANIFEST.MF") == null) {
                throw new RolloutException(ErrorCode.PROGRAM_MISSING, jar + " is not a jar: it has no manifest");
            }
            in.transferTo(OutputStream.nullOutputStream());
            return HexFormat.of()
                    .formatHex(((DigestInputStream) in).getMessageDigest().digest());
        } catch (IOException | NoSuchAlgorithmException e) {
            throw new RolloutException(ErrorCode.PROGRAM_MISSING, jar + " cannot be read: " + e.getMessage(), e);
        }
    }

    /** Throws PROGRAM_MISSING if the digest of the jar is not the expected one; null expects any. */
    static void verify(Path jar, String actual, String expected) throws RolloutException {
        if (expected != null && !expected.equalsIgnoreCase(actual)) {
            throw new RolloutException(
                    ErrorCode.PROGRAM_MISSING, jar + " has the digest " + actual + ", not " + expected);
        }
    }
}
