package olivechute.benchmark;

import java.nio.file.Path;

/** What is measured: the node of a jar, in plain TCP or in TLS under identities on both sides. */
record NodeUnderTest(Path jar, boolean tls) {
    /** How the stand-ins round it connect. */
    ConnectionFactory connectionFactory() throws java.io.IOException {
        return tls ? new TestTrustDomain() : ConnectionFactory.PLAINTEXT;
    }
}
