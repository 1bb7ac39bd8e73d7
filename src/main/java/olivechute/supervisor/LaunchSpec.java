package olivechute.supervisor;

/**
 * What a node has to run: a version, as demanded by an order.
 *
 * @param orderNumber number of the order that demanded the version
 * @param program path of the jar
 * @param expectedDigest SHA-256 digest that the jar must have, in hexadecimal; empty accepts any
 * @param actualDigest digest that the jar had when the order arrived
 * @param configJson the node's complete configuration as JSON
 */
record LaunchSpec(
        String version,
        long orderNumber,
        String program,
        String expectedDigest,
        String actualDigest,
        String configJson) {
    /** Whether a process running this can change to the other by reloading its configuration. */
    boolean canReloadTo(LaunchSpec other) {
        return program.equals(other.program)
                && actualDigest.equals(other.actualDigest)
                && SettingsOverlay.canReload(configJson, other.configJson);
    }
}
