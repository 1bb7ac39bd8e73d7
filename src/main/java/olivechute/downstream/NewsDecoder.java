package olivechute.downstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import olivechute.config.BadValueException;
import olivechute.config.Fields;
import olivechute.config.ReportFields;
import olivechute.core.Event.JobNews;
import olivechute.core.Event.JobState;
import olivechute.decision.DispatchApi.Load;

/** Decodes what upstream hosts tell of their jobs. */
final class NewsDecoder {
    private final ReportFields report;

    NewsDecoder(ReportFields report) {
        this.report = report;
    }

    JobNews decode(byte[] body) throws IOException {
        Fields news = Fields.parse("news", body);
        JobState state = switch (news.text("state")) {
            case "started" -> JobState.STARTED;
            case "running" -> JobState.RUNNING;
            case "done" -> JobState.DONE;
            case "failed" -> JobState.FAILED;
            case "returned" -> JobState.RETURNED;
            case "lost" -> JobState.LOST;
            default -> throw news.unknown("state");
        };
        byte[] result = state == JobState.DONE ? news.textOr("result", "").getBytes(StandardCharsets.UTF_8) : null;
        Load load = news.has("load") ? report.named(news.node("load")) : Load.NONE;
        return new JobNews(news.text("id"), news.text("from"), state, news.numberOr("share", 0), result, load);
    }
}
