package olivechute.config;

import java.util.List;
import java.util.function.ToDoubleFunction;
import olivechute.loadbalancing.LoadReport;

/**
 * Maps the values of a load report, as endpoints send them, to {@link LoadReport}. The names of the fields that hold
 * free slots and free memory come from the settings and are empty if there is none.
 */
public record LoadReportFields(List<Object> names, String freeSlotsField, String freeMemoryField) {
    /** Reads the field names from the settings. */
    public static LoadReportFields of(JsonFields settings) {
        JsonFields domain = settings.node("domain");
        List<Object> names = settings.node("report").list("fields");
        return new LoadReportFields(
                names, fieldFor(names, domain, "free slots"), fieldFor(names, domain, "free memory"));
    }

    private static String fieldFor(List<Object> names, JsonFields domain, String meaning) {
        String name = domain.textOr("report_x0", "").equals(meaning)
                ? "x0"
                : domain.textOr("report_x1", "").equals(meaning) ? "x1" : "";
        return names.contains(name) ? name : "";
    }

    boolean reportsFreeSlots() {
        return !freeSlotsField.isEmpty();
    }

    /** Returns the report for values in the order of the configured names; empty values mean no report. */
    public LoadReport fromRow(List<Object> values) {
        return values.isEmpty()
                ? LoadReport.NONE
                : fromValues(name -> LoadBalancerSettingsDecoder.numberAt(values, names.indexOf(name), Double.NaN));
    }

    /** Returns the report with one value replaced; a field without a meaning is ignored. */
    public LoadReport withValue(LoadReport report, String name, double value) {
        boolean isFreeSlots = name.equals(freeSlotsField);
        boolean isFreeMemory = name.equals(freeMemoryField);
        boolean isUtilization = name.equals("load_share");
        boolean isServiceTime = name.equals("mean_ms");
        return !isFreeSlots && !isFreeMemory && !isUtilization && !isServiceTime
                ? report
                : new LoadReport(
                        isFreeSlots ? value : report.freeSlots(),
                        isFreeMemory ? value : report.freeMemory(),
                        isUtilization ? value : report.utilization(),
                        isServiceTime ? value : report.serviceTimeMs());
    }

    /** Builds a report from a lookup by field name, which returns NaN for a missing value. */
    public LoadReport fromValues(ToDoubleFunction<String> values) {
        return new LoadReport(
                values.applyAsDouble(freeSlotsField),
                values.applyAsDouble(freeMemoryField),
                values.applyAsDouble("load_share"),
                values.applyAsDouble("mean_ms"));
    }
}
