package olivechute.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * A blocking connection: one thread reads while others may write, and a message of several parts is one call. Plain, as
 * it is here.
 */
@SuppressWarnings("ByteBufferBackingArray") // the buffer is allocated on the heap here
public class Connection {
    /** Takes a whole message of any size allowed, so that writing waits only for a peer that does not read. */
    public static final int SEND_BUFFER = 128 * 1024;

    private final SocketChannel channel;
    private InputStream inputStream; // kept, as the socket makes a new one each time that it is asked

    /** Takes an accepted connection, or one to be dialled. */
    public Connection(SocketChannel channel) {
        this.channel = channel;
    }

    /** Dials; fails after so long. */
    public void connect(InetSocketAddress address, int timeoutMillis) throws IOException {
        channel.socket().connect(address, timeoutMillis);
    }

    /** Sets it up for messages, each sent at once. */
    public void initialize() throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER);
    }

    /** Reads what is there, waiting for some; negative at the end. */
    public int read(ByteBuffer buffer) throws IOException {
        return channel.read(buffer);
    }

    /**
     * Reads what is there; 0 if there is nothing, negative at the end. The buffer must have an array, from its start
     * on.
     */
    public int readAvailable(ByteBuffer buffer) throws IOException {
        try {
            socket().setSoTimeout(1);
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

    /** Writes all of it. */
    public void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Writes all of both, as one message. */
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

    /** True if bytes have come that were not read yet. */
    public boolean hasUnreadInput() {
        try {
            return inputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** False once who is on the other side is no longer to be spoken with, but for what is under way. */
    public boolean isPeerIdentityValid() {
        return true;
    }

    /** Says that nothing more will be written; may wait for a peer that does not read. */
    public void shutdownOutput() throws IOException {
        socket().shutdownOutput();
    }

    /** Reads no more: whoever reads has what came before, then the end. What comes from now on stays unread. */
    public void shutdownInput() {
        try {
            channel.shutdownInput();
        } catch (IOException e) {
            Logger.debug("input not ended: {}", e.getMessage()); // it is closed already
        }
    }

    /** The socket beneath, for what is done once: its end, its time-outs, what is unread. */
    public Socket socket() {
        return channel.socket();
    }

    /** Ends it, whoever reads or writes. */
    public void close() throws IOException {
        channel.close();
    }
}
