package olivechute.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import olivechute.config.JsonFields;
import org.testng.annotations.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.PreciseTimestamp;

/** Tests that a log entry is one line of JSON whatever the message holds, with the fields of its request. */
public class JsonLinesWriterTest {
    @Test
    public void anEntryIsOneLineWithItsRequestFields() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new JsonLinesWriter(out)
                .write(new LogEntry(
                        new PreciseTimestamp(),
                        null,
                        Map.of("stream", "t1", "host", "s1", "attempt", "0", "outcome", "RESET"),
                        "olivechute.core.Dispatcher",
                        null,
                        null,
                        -1,
                        null,
                        Level.WARN,
                        "two\nlines and a \"quote\"",
                        new IllegalStateException("why")));
        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(text.indexOf('\n'), text.length() - 1);
        JsonFields line = JsonFields.parse("line", text.strip().getBytes(StandardCharsets.UTF_8));
        Instant.parse(line.text("time"));
        assertEquals(line.text("level") + line.text("class"), "warnolivechute.core.Dispatcher");
        assertEquals(line.text("message"), "two\nlines and a \"quote\"");
        assertEquals(
                line.text("stream") + line.text("host") + line.text("attempt") + line.text("outcome"), "t1s10RESET");
        assertTrue(line.text("error").contains("why"));
    }
}
