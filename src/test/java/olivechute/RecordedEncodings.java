package olivechute;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Encodings that an earlier build wrote to disk and to the store, from stored-forms.txt: one name with its bytes in
 * hexadecimal on each line. Every later build must read them and write the same bytes.
 */
public final class RecordedEncodings {
    private static final Map<String, byte[]> RECORDED = load();

    private RecordedEncodings() {}

    private static Map<String, byte[]> load() {
        Map<String, byte[]> encodings = new LinkedHashMap<>();
        try (InputStream in = RecordedEncodings.class.getResourceAsStream("/stored-forms.txt")) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().forEach(line -> {
                String[] parts = line.split(" ");
                encodings.put(parts[0], HexFormat.of().parseHex(parts.length > 1 ? parts[1] : ""));
            });
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return encodings;
    }

    /** Returns the bytes that the earlier build wrote under this name. */
    public static byte[] recorded(String name) {
        byte[] bytes = RECORDED.get(name);
        if (bytes == null) {
            throw new AssertionError("not recorded: " + name);
        }
        return bytes.clone();
    }

    /** Asserts that this build writes the same bytes as the earlier one. */
    public static void assertWritten(String name, byte[] written) {
        byte[] recorded = RECORDED.getOrDefault(name, new byte[0]);
        assertEquals(
                name + " " + HexFormat.of().formatHex(recorded),
                name + " " + HexFormat.of().formatHex(written));
    }
}
