package olivechute.downstream;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import olivechute.config.InvalidValueException;
import olivechute.config.JsonFields;
import olivechute.config.LoadReportFields;
import olivechute.http.Body;
import olivechute.loadbalancing.LoadReport;
import olivechute.proxy.ProxyEvent.JobStatus;
import olivechute.proxy.ProxyEvent.JobStatusReceived;

/**
 * Decodes the job status events that endpoints send as JSON, in one pass. If a field occurs twice, the last one counts.
 */
final class JobStatusDecoder {
    private static final byte[] EMPTY_RESULT = new byte[0];

    private final LoadReportFields loadReportFields;

    JobStatusDecoder(LoadReportFields loadReportFields) {
        this.loadReportFields = loadReportFields;
    }

    /**
     * An {@link InvalidValueException} names the field that is missing or wrong; an {@link IOException} reports invalid
     * JSON.
     */
    JobStatusReceived decode(Body body) throws IOException {
        String id = null;
        String endpoint = null;
        String stateText = null;
        double progress = 0;
        byte[] result = EMPTY_RESULT;
        LoadReport loadReport = LoadReport.NONE;
        try (JsonParser parser = JsonFields.createParser(body.bytes(), body.offset(), body.length())) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidValueException("news: must be an object");
            }
            for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
                parser.nextToken();
                switch (field) {
                    case "id" -> id = readText(parser, field);
                    case "from" -> endpoint = readText(parser, field);
                    case "state" -> stateText = readText(parser, field);
                    case "share" ->
                        progress = parser.hasToken(JsonToken.VALUE_NULL)
                                ? 0
                                : Math.max(0, Math.min(1, readNumber(parser, field)));
                    case "result" -> {
                        String text = readText(parser, field);
                        result = text == null ? EMPTY_RESULT : text.getBytes(StandardCharsets.UTF_8);
                    }
                    case "load" -> loadReport = readLoadReport(parser);
                    default -> parser.skipChildren();
                }
            }
            if (!parser.hasToken(JsonToken.END_OBJECT) || parser.nextToken() != null) {
                throw new InvalidValueException("news: more than one value");
            }
        }
        requireField(id, "id");
        requireField(endpoint, "from");
        requireField(stateText, "state");
        JobStatus state = parseState(stateText);
        return new JobStatusReceived(
                id, endpoint, state, progress, state == JobStatus.DONE ? result : null, loadReport);
    }

    private static JobStatus parseState(String stateText) {
        return switch (stateText) {
            case "started" -> JobStatus.STARTED;
            case "running" -> JobStatus.RUNNING;
            case "done" -> JobStatus.DONE;
            case "failed" -> JobStatus.FAILED;
            case "returned" -> JobStatus.RETURNED;
            case "lost" -> JobStatus.LOST;
            default -> throw new InvalidValueException("news.state: unknown word " + stateText);
        };
    }

    private static void requireField(String value, String field) {
        if (value == null) {
            throw new InvalidValueException("news." + field + ": missing, must be text");
        }
    }

    private static String readText(JsonParser parser, String field) throws IOException {
        if (parser.hasToken(JsonToken.VALUE_NULL)) {
            return null;
        }
        if (!parser.hasToken(JsonToken.VALUE_STRING)) {
            throw new InvalidValueException("news." + field + ": must be text");
        }
        return parser.getText();
    }

    private static double readNumber(JsonParser parser, String field) throws IOException {
        if (!parser.currentToken().isNumeric()) {
            throw new InvalidValueException("news." + field + ": must be a number");
        }
        return parser.getDoubleValue();
    }

    /** Ignores values that are not numbers, or that the settings do not name. */
    private LoadReport readLoadReport(JsonParser parser) throws IOException {
        if (parser.hasToken(JsonToken.VALUE_NULL)) {
            return LoadReport.NONE;
        }
        if (!parser.hasToken(JsonToken.START_OBJECT)) {
            throw new InvalidValueException("news.load: must be an object");
        }
        LoadReport loadReport = LoadReport.NONE;
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            if (parser.currentToken().isNumeric()) {
                loadReport = loadReportFields.withValue(loadReport, field, parser.getDoubleValue());
            } else {
                parser.skipChildren();
            }
        }
        return loadReport;
    }
}
