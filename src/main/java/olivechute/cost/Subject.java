package olivechute.cost;

import java.nio.file.Path;

/** What is measured: the node of a jar, in plain TCP or in TLS under identities on both sides. */
record Subject(Path jar, boolean tls) {
    /** How the stand-ins round it connect. */
    Connecting connecting() throws java.io.IOException {
        return tls ? new Trust() : Connecting.PLAIN;
    }
}
