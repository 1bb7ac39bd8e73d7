package olivechute.supervisor;

/**
 * What a node is to run: a version by the order of a number. {@code program}: path of the jar; {@code digest}: SHA-256
 * that it must have, in hexadecimal digits, empty where any will do; {@code found}: the one that it had;
 * {@code config}: the node's whole configuration as JSON.
 */
record LaunchSpec(
        String version,
        long orderNumber,
        String program,
        String expectedDigest,
        String actualDigest,
        String configJson) {
    /** Whether a process that runs this can go over to another by reading its configuration again. */
    boolean canReloadTo(LaunchSpec other) {
        return program.equals(other.program)
                && actualDigest.equals(other.actualDigest)
                && SettingsOverlay.canReload(configJson, other.configJson);
    }
}
