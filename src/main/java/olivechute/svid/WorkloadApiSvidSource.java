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
import olivechute.net.Backoff;
import olivechute.net.Threads;

/**
 * The SPIFFE Workload API as a source: one connection to an agent on this machine, whose streams bring each renewal as
 * it is made. When it ends, or says what is no message, it is dialled again after a while.
 */
@SuppressWarnings("WaitNotInLoop") // the wait stands in the loop of the caller, which reads the state anew
public final class WorkloadApiSvidSource {
    private static final long LEAST_WAIT = 250; // ms
    private static final long MOST_WAIT = 30_000;
    private static final int READ = 16 * 1024;
    private static final byte[] NOTHING = new byte[0]; // a request of no fields

    private final SocketAddress address;
    private final String hint;
    private final boolean tokens;
    private final Backoff backoff;
    private SocketChannel channel; // guarded by this
    private boolean nudged; // guarded by this

    /** {@code tokens}: the keys that sign them are asked for too. */
    public WorkloadApiSvidSource(SocketAddress address, String hint, boolean tokens, RandomGenerator random) {
        this.address = address;
        this.hint = hint;
        this.tokens = tokens;
        this.backoff = new Backoff(LEAST_WAIT, MOST_WAIT, random);
    }

    /** Stays connected, on a thread of its own that ends with the program. */
    public void start(SvidListener sink) {
        Threads.start("svid-workload-api", () -> {
            try {
                for (; ; ) {
                    try {
                        new Session(sink).run();
                    } catch (IOException e) {
                        sink.failed("workload API at " + address + ": "
                                + (e instanceof AsynchronousCloseException
                                        ? "asked anew, as a renewal is due"
                                        : e.getMessage()));
                    } catch (GrpcException e) {
                        sink.failed("workload API at " + address + ": " + e.getMessage());
                    } finally {
                        hangUp();
                    }
                    pause(backoff.nextDelayMillis());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Dials anew at once: what is connected has not brought what was due. */
    public synchronized void nudge() {
        nudged = true;
        notifyAll();
        hangUp();
    }

    private synchronized void pause(long millis) throws InterruptedException {
        if (!nudged) {
            wait(millis);
        }
        nudged = false;
    }

    private synchronized void hangUp() {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            channel = null; // it is of no use either way
        }
        channel = null;
    }

    private synchronized SocketChannel dial() throws IOException {
        channel = address instanceof UnixDomainSocketAddress
                ? SocketChannel.open(StandardProtocolFamily.UNIX)
                : SocketChannel.open();
        return channel;
    }

    /** One connection, from its dialling to its end. */
    private final class Session implements GrpcConnection.Listener {
        private final SvidListener sink;
        private final GrpcConnection machine = GrpcConnection.client(this);
        private int documents;
        private Offer offer;
        private Map<String, Map<String, PublicKey>> keys = Map.of();
        private String end; // why it is over

        Session(SvidListener sink) {
            this.sink = sink;
        }

        void run() throws IOException, GrpcException {
            SocketChannel dialled = dial();
            dialled.connect(address);
            documents =
                    machine.call("localhost", WorkloadApiMessages.FETCH_X509, WorkloadApiMessages.METADATA, NOTHING);
            if (tokens) {
                machine.call("localhost", WorkloadApiMessages.FETCH_JWT_BUNDLES, WorkloadApiMessages.METADATA, NOTHING);
            }
            ByteBuffer room = ByteBuffer.allocate(READ);
            while (end == null) {
                ByteBuffer ready = ByteBuffer.wrap(machine.toSend());
                while (ready.hasRemaining()) {
                    dialled.write(ready);
                }
                int n = dialled.read(room.clear());
                if (n < 0) {
                    throw new EOFException("ended");
                }
                machine.feed(room.array(), 0, n);
            }
            throw new IOException(end);
        }

        @Override
        public void headers(int stream, Map<String, String> headers) {
            if (!"200".equals(headers.get(":status"))) {
                end = "answered " + headers.get(":status");
            }
        }

        @Override
        public void message(int stream, byte[] body) {
            try {
                if (stream == documents) {
                    offer = WorkloadApiMessages.x509(body, hint);
                } else {
                    keys = WorkloadApiMessages.jwtBundles(body);
                }
                if (offer != null) {
                    sink.offered(new Offer(offer.chain(), offer.key(), withKeys(offer.bundles(), keys)));
                    backoff.reset();
                }
            } catch (IdentityRejectedException e) {
                sink.failed("workload API at " + address + ": " + e.getMessage()); // the next one may be better
            }
        }

        @Override
        public void ended(int stream, Map<String, String> trailers) {
            String status = trailers.containsKey("grpc-status")
                    ? "status " + trailers.get("grpc-status") + " " + trailers.getOrDefault("grpc-message", "")
                    : "stream ended " + trailers;
            if (stream == documents) {
                end = status.strip();
            } else {
                sink.failed("workload API at " + address + ", keys for tokens: " + status.strip());
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
