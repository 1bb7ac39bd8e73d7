package olivechute.upstream;

import olivechute.config.LoadReportFields;
import olivechute.http.Headers;
import olivechute.loadbalancing.LoadReport;

/** Parses the load report in a response header: {@code X-Pressure: TEXT inflight=7, queue=2}. */
public final class LoadReportHeader {
    private final LoadReportFields fields;

    public LoadReportHeader(LoadReportFields fields) {
        this.fields = fields;
    }

    LoadReport parse(Headers headers) {
        String text = headers.get("X-Pressure");
        if (text == null || !text.startsWith("TEXT ")) {
            return LoadReport.NONE;
        }
        String[] pairs = text.substring(5).split(",");
        return fields.fromValues(name -> {
            for (String pair : pairs) {
                String[] nameAndValue = pair.strip().split("=", 2);
                if (nameAndValue.length == 2 && nameAndValue[0].equals(name)) {
                    return parseNumber(nameAndValue[1]);
                }
            }
            return Double.NaN;
        });
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
