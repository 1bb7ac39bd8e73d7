package olivechute.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** A blocking connection: one thread reads while others may write, and a message of several parts is one call. */
public final class Link {
    /** Takes a whole message of any size allowed, so that writing waits only for a peer that does not read. */
    public static final int SEND_BUFFER = 128 * 1024;

    private final SocketChannel channel;

    /** Takes an accepted connection. */
    public Link(SocketChannel channel) {
        this.channel = channel;
    }

    /** Makes one to be dialled. */
    public static Link unconnected() throws IOException {
        return new Link(SocketChannel.open());
    }

    /** Dials; fails after so long. */
    public void connect(InetSocketAddress address, int millis) throws IOException {
        channel.socket().connect(address, millis);
    }

    /** Sets it up for messages, each sent at once. */
    public void ready() throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER);
    }

    /** Reads what is there, waiting for some; negative at the end. */
    public int read(ByteBuffer into) throws IOException {
        return channel.read(into);
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

    /** The socket beneath, for what is done once: its end, its time-outs, what is unread. */
    public Socket socket() {
        return channel.socket();
    }

    /** Ends it, whoever reads or writes. */
    public void close() throws IOException {
        channel.close();
    }
}
