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
 * The operators' own settings: a HOCON file that {@code OLIVECHUTE_SETTINGS} names. The platform's configuration comes
 * first and needs none of it; without the variable nothing here is loaded, not even the library that reads it.
 */
final class OperatorSettingsFile {
    /** The variable that names the file. */
    static final String VARIABLE = "OLIVECHUTE_SETTINGS";

    private static final int MAX_BYTES = 256 * 1024;

    private OperatorSettingsFile() {}

    /** True if the environment names a file. */
    static boolean isConfigured(Map<String, String> environment) {
        return !environment.getOrDefault(VARIABLE, "").isEmpty();
    }

    /** Reads the file; null where identities are off. What is wrong goes to {@code faults}, a line for each. */
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

    /** Reads the file where one is named; a {@link InvalidValueException} names the first faulty key. */
    static IdentitySettings load(Map<String, String> environment) {
        List<String> errors = new ArrayList<>();
        IdentitySettings identity = isConfigured(environment) ? read(environment, errors) : null;
        if (!errors.isEmpty()) {
            throw new InvalidValueException(errors.get(0));
        }
        return identity;
    }
}
