package olivechute.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import olivechute.config.EndpointListDecoder;
import olivechute.config.InvalidValueException;
import olivechute.discovery.DiscoveryCallException.Reason;
import olivechute.endpointlist.WatchTimeouts;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.http.ResponseParser;
import olivechute.net.TimedReads;
import olivechute.proxy.EndpointListUpdate;
import org.tinylog.Logger;

/**
 * The connection to discovery, opened when a call needs it and kept alive between calls. {@link EndpointListWatcher}
 * makes the calls on one thread; any other thread may close the connection, which ends the call in progress.
 */
@SuppressWarnings(
        "ReferenceEquality") // addresses are compared by identity: moving to an equal address also counts as a move
final class DiscoveryConnection {
    /** The version to pass to {@link #call} to request the full list. */
    static final long FULL_LIST = -1;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    /**
     * Maximum size of a list: 3,200 servers take 0.7 MB with indentation, and the limit leaves space for longer names
     * and addresses.
     */
    private static final int MAX_LIST_BYTES = 2 * 1024 * 1024;

    private static final int STATUS_OK = 200;

    private volatile InetSocketAddress address;
    private Socket socket; // guarded by this

    DiscoveryConnection(InetSocketAddress address) {
        this.address = address;
    }

    /** Returns the current address of discovery. */
    InetSocketAddress address() {
        return address;
    }

    /** Changes the address of discovery and ends the call in progress. */
    synchronized void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
        close();
    }

    /**
     * Requests the changes since a version, or the {@link #FULL_LIST}, from the discovery at {@code target}. Fails if
     * the address has changed meanwhile. The complete answer has to be read within the call's timeout.
     */
    EndpointListUpdate call(InetSocketAddress target, long sinceVersion, WatchTimeouts.Call callTimeouts)
            throws DiscoveryCallException {
        long deadlineNanos = System.nanoTime() + callTimeouts.timeoutMs() * 1_000_000L;
        Logger.debug("discovery {}: asked from {}", target, sinceVersion);
        Socket connected = connect(target, Math.min(CONNECT_TIMEOUT_MS, callTimeouts.timeoutMs()));
        HttpResponse response = exchange(connected, encodeRequest(target, sinceVersion, callTimeouts), deadlineNanos);
        if (!response.keepAlive()) {
            close();
        }
        if (response.status() != STATUS_OK) {
            throw new DiscoveryCallException(Reason.REFUSED, "answered " + response.status());
        }
        return decode(response);
    }

    private static byte[] encodeRequest(InetSocketAddress target, long sinceVersion, WatchTimeouts.Call callTimeouts) {
        String query =
                sinceVersion == FULL_LIST ? "" : "?since=" + sinceVersion + "&timeout_ms=" + callTimeouts.waitMs();
        String host = target.getAddress().getHostAddress() + ":" + target.getPort();
        return MessageWriter.request("GET", "/registry/instances" + query, host, null);
    }

    private Socket connect(InetSocketAddress target, int timeoutMs) throws DiscoveryCallException {
        Socket current = socketFor(target);
        if (current.isConnected()) {
            return current;
        }
        try {
            current.setTcpNoDelay(true);
            current.connect(target, timeoutMs);
            return current;
        } catch (ConnectException | NoRouteToHostException e) {
            throw new DiscoveryCallException(Reason.UNREACHABLE, e.getMessage());
        } catch (SocketTimeoutException e) {
            throw new DiscoveryCallException(Reason.UNREACHABLE, e.getMessage(), true);
        } catch (IOException e) {
            throw new DiscoveryCallException(Reason.LOCAL_FAULT, e.getMessage());
        }
    }

    private synchronized Socket socketFor(InetSocketAddress target) throws DiscoveryCallException {
        if (target != address) {
            throw new DiscoveryCallException(Reason.MOVED, "the address of discovery changed");
        }
        socket = socket == null ? new Socket() : socket;
        return socket;
    }

    /**
     * Writes the request and reads the response before the deadline. The remaining time is set before each read,
     * because the timeout of a socket restarts with each byte: an answer that trickles in would prolong it
     * indefinitely.
     */
    private static HttpResponse exchange(Socket socket, byte[] request, long deadlineNanos)
            throws DiscoveryCallException {
        ResponseParser parser = new ResponseParser(MAX_LIST_BYTES);
        boolean responseBegun = false;
        try {
            socket.getOutputStream().write(request);
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8192];
            while (!parser.isComplete()) {
                long remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000;
                if (remainingMs <= 0) {
                    throw new SocketTimeoutException("no complete answer in time");
                }
                socket.setSoTimeout((int) remainingMs);
                int count = TimedReads.read(in, buffer, 0, buffer.length);
                if (count < 0 && !parser.onEndOfInput()) {
                    throw new IOException("connection ended");
                }
                responseBegun |= count > 0;
                parser.feed(buffer, 0, Math.max(0, count));
            }
            return parser.take();
        } catch (HttpException e) {
            throw new DiscoveryCallException(Reason.UNREADABLE, e.getMessage());
        } catch (SocketTimeoutException e) {
            throw new DiscoveryCallException(responseBegun ? Reason.INCOMPLETE : Reason.SILENT, e.getMessage(), true);
        } catch (IOException e) {
            throw new DiscoveryCallException(responseBegun ? Reason.INCOMPLETE : Reason.CLOSED, e.getMessage());
        }
    }

    private static EndpointListUpdate decode(HttpResponse response) throws DiscoveryCallException {
        try {
            return EndpointListDecoder.parse(response.body());
        } catch (InvalidValueException | IOException e) {
            throw new DiscoveryCallException(Reason.UNREADABLE, e.getMessage());
        }
    }

    /** Closes the connection if it is open; the next call opens a new one. */
    synchronized void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
        socket = null;
    }
}
