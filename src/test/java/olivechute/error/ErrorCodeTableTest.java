package olivechute.error;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the runbook's error table matches the codes, and that each message holds the texts of its code. */
class ErrorCodeTableTest {
    @Test
    void theRunbookTableMatchesTheCodes() throws IOException {
        List<String> rows = Runbook.rowsOutside("Discovery");
        List<String> codes = Arrays.stream(ErrorCode.values())
                .map(kind -> "| `" + kind + "` | " + kind.cause() + " | " + kind.remedy() + " |")
                .toList();
        assertEquals(String.join("\n", codes), String.join("\n", rows));
    }

    @Test
    void aMessageNamesItsCodeSubjectAndRemedy() {
        List<FleetException> exceptions = List.of(
                new StoreException(ErrorCode.CONFLICT, "key base at version 4"),
                new DiskException(ErrorCode.DISK_FULL, "folder r1"),
                new RolloutException(ErrorCode.CHANGE_UNDER_WAY, "c7"),
                new SupervisionException(ErrorCode.NODE_CRASHED, "node n1 ended with 137"),
                new SettingsException(ErrorCode.SETTINGS_INVALID, "replicas: missing"));
        for (FleetException exception : exceptions) {
            String message = exception.getMessage();
            assertTrue(message.startsWith(exception.code() + ": " + exception.subject()), message);
            assertTrue(message.endsWith("To do: " + exception.code().remedy() + "."), message);
        }
    }
}
