package olivechute;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The bytes that an earlier build left on disks and in the store, from stored-forms.txt: a name and its bytes in
 * hexadecimal digits on each line. Every later build must read them, and write the same ones.
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

    /** The bytes that the earlier build wrote under this name. */
    public static byte[] recorded(String name) {
        byte[] bytes = RECORDED.get(name);
        if (bytes == null) {
            throw new AssertionError("not recorded: " + name);
        }
        return bytes.clone();
    }

    /** That this build writes what the earlier one wrote. */
    public static void assertWritten(String name, byte[] written) {
        byte[] recorded = RECORDED.getOrDefault(name, new byte[0]);
        assertEquals(
                name + " " + HexFormat.of().formatHex(recorded),
                name + " " + HexFormat.of().formatHex(written));
    }
}
