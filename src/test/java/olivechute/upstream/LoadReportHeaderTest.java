package olivechute.upstream;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import olivechute.config.JsonFields;
import olivechute.config.LoadReportFields;
import olivechute.http.ResponseParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parses the load report in a response header, with the fields that the settings name. */
public class LoadReportHeaderTest {
    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {"TEXT x0=2.5, depth=3, load_share=0.61", 2.5, 0.61}, {"TEXT depth=3,x0=1", 1, Double.NaN},
            {"TEXT x0=many, load_share", Double.NaN, Double.NaN}, {"x0=1", Double.NaN, Double.NaN},
            {"TEXT ", Double.NaN, Double.NaN},
        };
    }

    @Test(dataProvider = "reports")
    public void reportsAreRead(String text, double freeSlots, double utilization) throws Exception {
        JsonFields settings = JsonFields.parse(
                "settings",
                ("{\"domain\":{\"report_x0\":\"free slots\"}," + "\"report\":{\"fields\":[\"x0\",\"depth\"]}}")
                        .getBytes(StandardCharsets.UTF_8));
        ResponseParser parser = new ResponseParser();
        byte[] answer = ("HTTP/1.1 204 x\r\nX-Pressure: " + text + "\r\n\r\n").getBytes(StandardCharsets.UTF_8);
        parser.feed(answer, 0, answer.length);
        var loadReport = new LoadReportHeader(LoadReportFields.of(settings))
                .parse(parser.take().headers());
        assertEquals(loadReport.freeSlots(), freeSlots);
        assertEquals(loadReport.utilization(), utilization);
    }
}
