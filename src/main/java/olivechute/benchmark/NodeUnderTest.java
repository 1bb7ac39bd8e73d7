package olivechute.benchmark;

import java.nio.file.Path;

/** The measured node: its jar, and whether it uses plain TCP or TLS with identities on both sides. */
record NodeUnderTest(Path jar, boolean tls) {
    /** Returns how the simulated clients and endpoints connect to it. */
    ConnectionFactory connectionFactory() throws java.io.IOException {
        return tls ? new TestTrustDomain() : ConnectionFactory.PLAINTEXT;
    }
}
