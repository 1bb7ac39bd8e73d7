package olivechute.downstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import olivechute.config.InvalidValueException;
import olivechute.config.JsonFields;
import olivechute.config.LoadReportFields;
import olivechute.http.Body;
import olivechute.proxy.ProxyEvent.JobStatus;
import olivechute.proxy.ProxyEvent.JobStatusReceived;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decodes job status events as endpoints send them, valid and malformed. */
public class JobStatusDecoderTest {
    private static JobStatusReceived decode(String text) throws IOException {
        LoadReportFields noLoadReportFields =
                LoadReportFields.of(JsonFields.parse("settings", "{}".getBytes(StandardCharsets.UTF_8)));
        return new JobStatusDecoder(noLoadReportFields).decode(Body.of(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static String running(String progress) {
        return "{\"id\":\"t1\",\"from\":\"s1\",\"state\":\"running\",\"share\":" + progress + "}";
    }

    @DataProvider
    public Object[][] shares() {
        return new Object[][] {
            {"0.4", 0.4}, {"null", 0.0}, {"-3", 0.0}, {"1.0000001", 1.0}, {"1e999", 1.0}, {"-1e999", 0.0}
        };
    }

    /** Progress is limited to the range from 0 to 1, whatever an endpoint sends. */
    @Test(dataProvider = "shares")
    public void progressIsClampedToTheRangeFromZeroToOne(String sent, double progress) throws IOException {
        JobStatusReceived jobStatus = decode(running(sent));
        assertEquals(jobStatus.progress(), progress);
        assertEquals(jobStatus.status(), JobStatus.RUNNING);
    }

    @DataProvider
    public Object[][] broken() {
        return new Object[][] {
            {""},
            {"{"},
            {"{\"id\":\"t1\""},
            {"{\"id\":\"t1\",\"from\":\"s1\",\"state\":\"do"},
            {"null"},
            {"7"},
            {"\"text\""},
            {"{}{}"},
            {"{\"id\":7,\"from\":\"s1\",\"state\":\"done\"}"},
            {"{\"id\":\"t1\",\"from\":null,\"state\":\"done\"}"},
            {"{\"id\":\"t1\",\"from\":\"s1\",\"state\":\"gone\"}"},
            {"{\"id\":\"t1\",\"from\":\"s1\",\"state\":\"done\",\"result\":{}}"},
            {"{\"id\":\"t1\",\"from\":\"s1\",\"state\":\"done\",\"load\":[1]}"},
            {running("NaN")},
            {running("\"0.4\"")},
            {running("[1]")},
        };
    }

    @Test(dataProvider = "broken")
    public void malformedJobStatusFailsWithAnAnsweredException(String text) {
        assertThrows(IOException.class, () -> decodeMalformed(text));
    }

    /**
     * Only the exceptions that {@link DownstreamServer} answers with 400 count here: any other one would close the
     * connection without a response.
     */
    private static void decodeMalformed(String text) throws IOException {
        try {
            decode(text);
        } catch (InvalidValueException | IOException e) {
            throw new IOException(e);
        }
    }
}
