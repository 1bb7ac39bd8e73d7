package olivechute.config;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The operator settings: a HOCON file named by {@code OLIVECHUTE_SETTINGS}. The platform's configuration does not need
 * it; without the variable neither this code nor the HOCON library is loaded.
 */
final class OperatorSettingsFile {
    /** The environment variable that names the file. */
    static final String VARIABLE = "OLIVECHUTE_SETTINGS";

    private static final int MAX_BYTES = 256 * 1024;

    private OperatorSettingsFile() {}

    /** Returns whether the environment names a file. */
    static boolean isConfigured(Map<String, String> environment) {
        return !environment.getOrDefault(VARIABLE, "").isEmpty();
    }

    /** Reads the file; returns null if identities are off. Errors are added to {@code errors}, one line each. */
    static IdentitySettings read(Map<String, String> environment, List<String> errors) {
        String file = environment.get(VARIABLE);
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_BYTES) {
                errors.add(VARIABLE + ": " + file + " is over " + MAX_BYTES + " bytes");
                return null;
            }
            HoconObject root = HoconObject.parse(readText(path), errors);
            IdentitySettings identity = IdentitySettings.read(root.node("identity"));
            root.rejectUnknownKeys();
            return identity;
        } catch (IOException | InvalidPathException e) {
            errors.add(VARIABLE + ": cannot read " + file + ": " + e);
            return null;
        }
    }

    private static String readText(Path path) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(ConfigurationFile.read(path));
        return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
    }

    /** Reads the file if one is named; an {@link InvalidValueException} holds the first error. */
    static IdentitySettings load(Map<String, String> environment) {
        List<String> errors = new ArrayList<>();
        IdentitySettings identity = isConfigured(environment) ? read(environment, errors) : null;
        if (!errors.isEmpty()) {
            throw new InvalidValueException(errors.get(0));
        }
        return identity;
    }
}
