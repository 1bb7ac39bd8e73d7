package olivechute.loadbalancing;

/**
 * An endpoint's report of its load; values that it did not report are NaN.
 *
 * @param freeSlots number of unoccupied slots
 * @param freeMemory unused memory, in the endpoints' unit
 * @param utilization fraction of the time that the endpoint was busy, from 0 to 1
 * @param serviceTimeMs mean running time of its requests, in milliseconds
 */
public record LoadReport(double freeSlots, double freeMemory, double utilization, double serviceTimeMs) {
    /** A report without any value. */
    public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
