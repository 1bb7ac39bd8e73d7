package olivechute.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.StringReader;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Properties;
import java.util.stream.Collectors;
import olivechute.RecordedEncodings;
import org.junit.jupiter.api.Test;

/** Tests that the stored orders and processes are written and read in the same format as by earlier builds. */
class SupervisorStateFileTest {
    private static final LaunchSpec LAUNCH =
            new LaunchSpec("v2", 9, "/programs/p.jar", "ab12", "cd34", "{\"name\":\"n1\"}");
    private static final SupervisorStateFile.ProcessRecord PROCESS = new SupervisorStateFile.ProcessRecord(
            4711, 1_700_000_000_000L, "127.0.0.1:7070", "/folder/n1-9.json", LAUNCH);

    /** Returns the lines of a properties file in order, without its leading date comment. */
    private static byte[] text(Properties values) throws Exception {
        StringWriter text = new StringWriter();
        values.store(text, null);
        return text.toString()
                .lines()
                .filter(line -> !line.startsWith("#"))
                .sorted()
                .collect(Collectors.joining("\n", "", "\n"))
                .getBytes(StandardCharsets.UTF_8);
    }

    private static Properties recorded(String name) throws Exception {
        Properties values = new Properties();
        values.load(new StringReader(new String(RecordedEncodings.recorded(name), StandardCharsets.UTF_8)));
        return values;
    }

    @Test
    void theStoredOrderFormatIsUnchanged() throws Exception {
        RecordedEncodings.assertWritten("supervisor-order", text(SupervisorStateFile.toProperties(LAUNCH)));
        assertEquals(
                LAUNCH,
                SupervisorStateFile.parseLaunch(recorded("supervisor-order")).orElseThrow());
    }

    @Test
    void theStoredProcessFormatIsUnchanged() throws Exception {
        RecordedEncodings.assertWritten("supervisor-process", text(SupervisorStateFile.toProperties(PROCESS)));
        assertEquals(
                PROCESS,
                SupervisorStateFile.parseProcess(recorded("supervisor-process")).orElseThrow());
    }
}
