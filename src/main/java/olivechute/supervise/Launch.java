package olivechute.supervise;

/**
 * What a node is to run: a version by the order of a number. {@code program}: path of the jar; {@code digest}: SHA-256 of it in hexadecimal
 * digits, empty where it does not matter; {@code config}: the node's whole configuration as JSON.
 */
record Launch(String version, long order, String program, String digest, String config) {
    /** Whether a process that runs this can go over to another by reading its configuration again. */
    boolean reloadsTo(Launch other) {
        return program.equals(other.program) && digest.equalsIgnoreCase(other.digest) && Overlay.changesWhileRunning(config, other.config);
    }
}
