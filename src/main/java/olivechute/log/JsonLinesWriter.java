package olivechute.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * A tinylog writer for {@code OLIVECHUTE_LOG=json}. Writes each log entry to standard output as a JSON object on a line
 * of its own: {@code time} (RFC 3339), {@code level}, {@code class}, {@code message}, {@code error} with the stack
 * trace if there is one, and each field of {@link RequestLogFields}. Called on the thread that logs.
 */
public final class JsonLinesWriter implements Writer {
    private static final JsonFactory JSON = new JsonFactory();

    private final OutputStream out;

    /** Called by tinylog. */
    public JsonLinesWriter(Map<String, String> properties) {
        this(System.out);
    }

    JsonLinesWriter(OutputStream out) {
        this.out = out;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION,
                LogEntryValue.CONTEXT);
    }

    @Override
    public void write(LogEntry entry) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(256);
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", entry.getTimestamp().toInstant().toString());
            json.writeStringField("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
            json.writeStringField("class", entry.getClassName());
            json.writeStringField("message", entry.getMessage());
            if (entry.getException() != null) {
                StringWriter trace = new StringWriter();
                entry.getException().printStackTrace(new PrintWriter(trace));
                json.writeStringField("error", trace.toString());
            }
            for (Map.Entry<String, String> field : entry.getContext().entrySet()) {
                json.writeStringField(field.getKey(), field.getValue());
            }
            json.writeEndObject();
        }
        line.write('\n');
        synchronized (out) {
            line.writeTo(out); // in one call, so that lines of several threads do not mix
            out.flush();
        }
    }

    @Override
    public void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        flush();
    }
}
