package olivechute.config;

import java.util.List;
import java.util.function.ToDoubleFunction;
import olivechute.loadbalancing.LoadReport;

/** Which values of a load report mean what, as the settings say. */
public record LoadReportFields(List<Object> names, String freeSlotsField, String freeMemoryField) {
    /** Reads from the settings which value of a report means what. */
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

    /** A report whose values come in the order of the names; an empty one tells nothing. */
    public LoadReport fromRow(List<Object> values) {
        return values.isEmpty()
                ? LoadReport.NONE
                : fromValues(name -> LoadBalancerSettingsDecoder.numberAt(values, names.indexOf(name), Double.NaN));
    }

    /** The report with one more value, where its name means something. */
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

    /** A report whose values are looked up by name; NaN for what was not told. */
    public LoadReport fromValues(ToDoubleFunction<String> values) {
        return new LoadReport(
                values.applyAsDouble(freeSlotsField),
                values.applyAsDouble(freeMemoryField),
                values.applyAsDouble("load_share"),
                values.applyAsDouble("mean_ms"));
    }
}
