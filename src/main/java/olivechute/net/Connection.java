package olivechute.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import olivechute.memory.MemoryAllowance;
import org.tinylog.Logger;

/**
 * A blocking TCP connection: one thread reads while others may write, and a message of several parts is written in one
 * call. This class is plaintext; subclasses add TLS.
 */
@SuppressWarnings("ByteBufferBackingArray") // the buffer is allocated on the heap here
public class Connection {
    /**
     * Size of the send buffer in bytes: holds a whole message of any allowed size, so that a write blocks only if the
     * peer does not read.
     */
    public static final int SEND_BUFFER = 128 * 1024;

    private final SocketChannel channel;
    private InputStream inputStream; // cached, as the socket creates a new one on each call

    /** Wraps an accepted connection, or one that is to be connected. */
    public Connection(SocketChannel channel) {
        this.channel = channel;
    }

    /** Connects, with a timeout in milliseconds. */
    public void connect(InetSocketAddress address, int timeoutMillis) throws IOException {
        channel.socket().connect(address, timeoutMillis);
    }

    /** Sets the socket options, so that each message is sent at once. */
    public void initialize() throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER);
    }

    /** Reads the available bytes, and blocks until there are some; negative at the end of the input. */
    public int read(ByteBuffer buffer) throws IOException {
        return channel.read(buffer);
    }

    /**
     * Reads the available bytes, waiting at most 1 ms for some; 0 if there are none, negative at the end of the input.
     * The buffer must be backed by an array with offset 0.
     */
    public int readAvailable(ByteBuffer buffer) throws IOException {
        return readWithin(buffer, 1);
    }

    /**
     * Reads the available bytes, waiting at most {@code timeoutMillis} for some; 0 if there are none, negative at the
     * end of the input. The buffer must be backed by an array with offset 0.
     */
    public int readWithin(ByteBuffer buffer, int timeoutMillis) throws IOException {
        try {
            socket().setSoTimeout(timeoutMillis);
            int read = TimedReads.read(inputStream(), buffer.array(), buffer.position(), buffer.remaining());
            buffer.position(buffer.position() + Math.max(0, read));
            return read;
        } catch (SocketTimeoutException noData) {
            return 0;
        }
    }

    private InputStream inputStream() throws IOException {
        InputStream stream = inputStream;
        if (stream == null) {
            stream = socket().getInputStream();
            inputStream = stream;
        }
        return stream;
    }

    /**
     * Reads bytes that are discarded, without interpreting them, and blocks until there are some; negative at the end
     * of the input. The connection must not be read otherwise afterwards.
     */
    public int readDiscarded(ByteBuffer buffer) throws IOException {
        return channel.read(buffer);
    }

    /** Writes all bytes. */
    public void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Writes head and body as one message. */
    public void write(ByteBuffer head, ByteBuffer body) throws IOException {
        if (!body.hasRemaining()) {
            write(head);
            return;
        }
        ByteBuffer[] parts = {head, body};
        while (body.hasRemaining()) {
            channel.write(parts);
        }
    }

    /** True if bytes have arrived that are not read yet. */
    public boolean hasUnreadInput() {
        try {
            return inputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** False once the peer's identity is no longer valid for new messages; the message in progress may be completed. */
    public boolean isPeerIdentityValid() {
        return true;
    }

    /** Ends the output; may block if the peer does not read. */
    public void shutdownOutput() throws IOException {
        socket().shutdownOutput();
    }

    /**
     * Ends the input: the reader gets the bytes that arrived before, then the end. Bytes that arrive from now on stay
     * unread.
     */
    public void shutdownInput() {
        try {
            channel.shutdownInput();
        } catch (IOException e) {
            Logger.debug("cannot shut down the input: {}", e.getMessage()); // it is closed already
        }
    }

    /** The underlying socket, for shutdown, timeouts and unread input. */
    public Socket socket() {
        return channel.socket();
    }

    /** Sets what the buffers of this connection are reserved from; called before it is used. */
    public void limitMemory(MemoryAllowance allowance) {
        // a plaintext connection has no buffers
    }

    /** Drops the buffers that hold received bytes; called by the reader once it interprets none any more. */
    public void discardReceived() {
        // a plaintext connection has none
    }

    /** Closes the connection, also while other threads read or write. */
    public void close() throws IOException {
        channel.close();
    }
}
