package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.function.Supplier;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;
import olivechute.identity.TrustBundles;
import olivechute.testca.CertificateAuthority;
import olivechute.tls.TlsContext;
import olivechute.tls.TlsException;
import olivechute.tls.TlsStateMachine;

/**
 * Measures CPU and heap allocation of TLS handshakes between two state machines in memory: what TLS costs a connection
 * beyond its sockets. Runs on the calling thread.
 */
final class HandshakeBenchmark {
    private static final String DOMAIN = "cost.example";
    private static final int WARMUP_HANDSHAKES = 200;

    private final PrintWriter out;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private CertificateAuthority root;

    HandshakeBenchmark(PrintWriter out) {
        this.out = out;
    }

    /** Prints a line for full handshakes and one for resumed ones. */
    void run(int handshakes) throws IOException {
        try {
            Instant now = Instant.now();
            root = CertificateAuthority.root(DOMAIN, now.minusSeconds(60), now.plus(Duration.ofHours(1)));
            TlsContext server = context("/node");
            TlsContext client = context("/client");
            // A client without a cached session makes a full handshake; a distinct peer name for each keeps sessions
            // apart.
            measure("full", handshakes, i -> client.client("h" + i, 1), server::server);
            measure("resumed", handshakes, i -> client.client("h", 1), server::server);
            out.printf(Locale.ROOT, "certificate chains verified: %d%n", client.chainChecks() + server.chainChecks());
            out.flush();
        } catch (TlsException | IdentityRejectedException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private TlsContext context(String path) throws IdentityRejectedException {
        Instant now = Instant.now();
        CertificateAuthority.Issued own = root.issue(
                SpiffeId.parse("spiffe://" + DOMAIN + path), now.minusSeconds(60), now.plus(Duration.ofHours(1)));
        TrustBundles bundles = TrustBundles.EMPTY.with(root.bundle());
        return new TlsContext(own.chain(), own.key(), false, () -> bundles, Instant::now);
    }

    private interface ClientFactory {
        TlsStateMachine create(int i);
    }

    private void measure(String name, int handshakes, ClientFactory clients, Supplier<TlsStateMachine> servers)
            throws TlsException {
        for (int i = 0; i < WARMUP_HANDSHAKES; i++) {
            handshake(clients.create(-i), servers.get());
        }
        long cpuBeforeNanos = threads.getCurrentThreadCpuTime();
        long allocatedBefore = ((com.sun.management.ThreadMXBean) threads)
                .getThreadAllocatedBytes(Thread.currentThread().getId());
        for (int i = 1; i <= handshakes; i++) {
            handshake(clients.create(i), servers.get());
        }
        long cpuNanos = threads.getCurrentThreadCpuTime() - cpuBeforeNanos;
        long allocated = ((com.sun.management.ThreadMXBean) threads)
                        .getThreadAllocatedBytes(Thread.currentThread().getId())
                - allocatedBefore;
        out.printf(
                Locale.ROOT,
                "%-8s %8.0f us of CPU, %8d bytes allocated, both sides together%n",
                name,
                cpuNanos / 1000.0 / handshakes,
                allocated / handshakes);
        out.flush();
    }

    private static void handshake(TlsStateMachine client, TlsStateMachine server) throws TlsException {
        while (transferBoth(client, server)) {
            // until neither side has data left to send, session tickets included
        }
    }

    /** Transfers data in both directions; the second is never skipped. */
    private static boolean transferBoth(TlsStateMachine client, TlsStateMachine server) throws TlsException {
        boolean fromClient = transfer(client, server);
        boolean fromServer = transfer(server, client);
        return fromClient || fromServer;
    }

    private static boolean transfer(TlsStateMachine from, TlsStateMachine to) throws TlsException {
        from.advance();
        ByteBuffer outgoing = from.toSend();
        boolean transferred = outgoing.hasRemaining();
        while (outgoing.hasRemaining()) {
            int n = Math.min(outgoing.remaining(), to.receiveBuffer().remaining());
            to.receiveBuffer().put(outgoing.slice().limit(n));
            outgoing.position(outgoing.position() + n);
            to.advance();
        }
        return transferred;
    }
}
