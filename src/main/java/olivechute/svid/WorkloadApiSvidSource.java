package olivechute.svid;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.SocketChannel;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import olivechute.grpc.GrpcConnection;
import olivechute.grpc.GrpcException;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SvidManager.Offer;
import olivechute.identity.TrustBundle;
import olivechute.memory.FailureLog;
import olivechute.net.Backoff;
import olivechute.net.Threads;

/**
 * Receives SVIDs from the SPIFFE Workload API over one connection to a local agent, whose streams deliver each renewal.
 * When the connection ends or violates the protocol, it is opened again after a backoff.
 */
@SuppressWarnings("WaitNotInLoop") // a spurious wakeup only shortens one retry delay
public final class WorkloadApiSvidSource {
    private static final long MIN_RETRY_DELAY_MS = 250;
    private static final long MAX_RETRY_DELAY_MS = 30_000;
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final byte[] EMPTY_REQUEST = new byte[0]; // a request without fields

    private final SocketAddress address;
    private final String hint;
    private final boolean fetchJwtBundles;
    private final Backoff backoff;
    private SocketChannel channel; // guarded by this
    private boolean reconnectRequested; // guarded by this

    /** {@code fetchJwtBundles}: the keys that verify JWT SVIDs are fetched too. */
    public WorkloadApiSvidSource(SocketAddress address, String hint, boolean fetchJwtBundles, RandomGenerator random) {
        this.address = address;
        this.hint = hint;
        this.fetchJwtBundles = fetchJwtBundles;
        this.backoff = new Backoff(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, random);
    }

    /** Keeps a connection open on a thread of its own, which runs until the process ends. */
    public void start(SvidListener listener) {
        Threads.start("svid-workload-api", () -> {
            try {
                for (; ; ) {
                    try {
                        new Session(listener).run();
                    } catch (IOException e) {
                        listener.onFailure("workload API at " + address + ": "
                                + (e instanceof AsynchronousCloseException
                                        ? "reconnecting, as a renewal is due"
                                        : e.getMessage()));
                    } catch (GrpcException e) {
                        listener.onFailure("workload API at " + address + ": " + e.getMessage());
                    } catch (RuntimeException | Error e) {
                        // Without this thread the node's identity would expire.
                        FailureLog.log(e, "identity: the connection to the workload API failed");
                    } finally {
                        closeChannel();
                    }
                    awaitRetry(backoff.nextDelayMillis());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /**
     * Reconnects at once; called when the current connection has not delivered a renewal that is due. Safe to call on
     * any thread.
     */
    public synchronized void reconnect() {
        reconnectRequested = true;
        notifyAll();
        closeChannel();
    }

    private synchronized void awaitRetry(long millis) throws InterruptedException {
        if (!reconnectRequested) {
            wait(millis);
        }
        reconnectRequested = false;
    }

    private synchronized void closeChannel() {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            channel = null; // the channel is discarded either way
        }
        channel = null;
    }

    private synchronized SocketChannel openChannel() throws IOException {
        channel = address instanceof UnixDomainSocketAddress
                ? SocketChannel.open(StandardProtocolFamily.UNIX)
                : SocketChannel.open();
        return channel;
    }

    /** One connection, from connecting until it ends. */
    private final class Session implements GrpcConnection.Listener {
        private final SvidListener listener;
        private final GrpcConnection connection = GrpcConnection.client(this);
        private int x509Stream;
        private Offer offer;
        private Map<String, Map<String, PublicKey>> keys = Map.of(); // by trust domain and key id
        private String endReason; // why the connection is over, null while it is open

        Session(SvidListener listener) {
            this.listener = listener;
        }

        void run() throws IOException, GrpcException {
            SocketChannel sessionChannel = openChannel();
            sessionChannel.connect(address);
            x509Stream = connection.call(
                    "localhost", WorkloadApiMessages.FETCH_X509, WorkloadApiMessages.METADATA, EMPTY_REQUEST);
            if (fetchJwtBundles) {
                connection.call(
                        "localhost",
                        WorkloadApiMessages.FETCH_JWT_BUNDLES,
                        WorkloadApiMessages.METADATA,
                        EMPTY_REQUEST);
            }
            ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
            while (endReason == null) {
                ByteBuffer output = ByteBuffer.wrap(connection.toSend());
                while (output.hasRemaining()) {
                    sessionChannel.write(output);
                }
                int n = sessionChannel.read(readBuffer.clear());
                if (n < 0) {
                    throw new EOFException("connection closed by the agent");
                }
                connection.feed(readBuffer.array(), 0, n);
            }
            throw new IOException(endReason);
        }

        @Override
        public void onHeaders(int stream, Map<String, String> headers) {
            if (!"200".equals(headers.get(":status"))) {
                endReason = "HTTP status " + headers.get(":status");
            }
        }

        @Override
        public void onMessage(int stream, byte[] body) {
            try {
                if (stream == x509Stream) {
                    offer = WorkloadApiMessages.parseX509Response(body, hint);
                } else {
                    keys = WorkloadApiMessages.parseJwtBundlesResponse(body);
                }
                if (offer != null) {
                    listener.onOffer(new Offer(offer.chain(), offer.key(), withKeys(offer.bundles(), keys)));
                    backoff.reset();
                }
            } catch (IdentityRejectedException e) {
                listener.onFailure(
                        "workload API at " + address + ": " + e.getMessage()); // a later message may be valid
            }
        }

        @Override
        public void onEnd(int stream, Map<String, String> trailers) {
            String status = trailers.containsKey("grpc-status")
                    ? "status " + trailers.get("grpc-status") + " " + trailers.getOrDefault("grpc-message", "")
                    : "stream ended " + trailers;
            if (stream == x509Stream) {
                endReason = status.strip();
            } else {
                listener.onFailure("workload API at " + address + ", JWT bundles: " + status.strip());
            }
        }
    }

    private static List<TrustBundle> withKeys(List<TrustBundle> bundles, Map<String, Map<String, PublicKey>> keys) {
        List<TrustBundle> all = new ArrayList<>();
        for (TrustBundle each : bundles) {
            all.add(new TrustBundle(
                    each.trustDomain(), each.authorities(), keys.getOrDefault(each.trustDomain(), Map.of())));
        }
        return all;
    }
}
