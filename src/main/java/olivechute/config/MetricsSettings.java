package olivechute.config;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Metrics reporting of a node that runs under a supervisor: where metrics are sent, and the name of the version that
 * the node was started as, empty for none.
 */
public record MetricsSettings(InetSocketAddress supervisorAddress, String version) {
    /** Environment variables that hold the settings. */
    static final String ADDRESS_VARIABLE = "OLIVECHUTE_FIGURES";

    static final String VERSION_VARIABLE = "OLIVECHUTE_VERSION";
    private static final int MAX_VERSION_LENGTH = 100;

    /**
     * Returns null if the environment names no supervisor; an {@link InvalidValueException} names the faulty variable.
     */
    static MetricsSettings read(Map<String, String> environment) {
        String address = environment.getOrDefault(ADDRESS_VARIABLE, "");
        if (address.isEmpty()) {
            return null;
        }
        String version = environment.getOrDefault(VERSION_VARIABLE, "");
        if (version.length() > MAX_VERSION_LENGTH || version.chars().anyMatch(Character::isISOControl)) {
            throw new InvalidValueException(VERSION_VARIABLE + ": must be at most " + MAX_VERSION_LENGTH
                    + " characters, none of them control characters");
        }
        return new MetricsSettings(Address.parse(ADDRESS_VARIABLE, address), version);
    }
}
