import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** As much of HTTP/1.1 as the stand-ins need: messages with a Content-Length or without a body. */
final class Http {
    private Http() {}

    /** A request or a response; the names of its fields are in lower case. */
    record Message(String start, Map<String, String> fields, String body) {
        String field(String name) {
            return fields.get(name);
        }

        /** The second word of the first line: a request's target, or a response's status. */
        String second() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(second());
        }
    }

    /** Answers requests, one connection a thread. */
    interface Handler {
        void handle(Message request, Socket connection) throws IOException;
    }

    /** Listens on a free port of 127.0.0.1 and passes each request to the handler, which answers it. */
    static ServerSocket serve(Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        return serve(listener, handler);
    }

    /** Passes each request that comes to a listener to the handler, which answers it. */
    static ServerSocket serve(ServerSocket listener, Handler handler) {
        daemon(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket accepted = listener.accept();
                    daemon(() -> serveConnection(accepted, handler));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener;
    }

    private static void serveConnection(Socket connection, Handler handler) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (Message request = read(in); request != null; request = read(in)) {
                handler.handle(request, connection);
            }
        } catch (IOException e) {
            // The peer ended the connection.
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads one message; null at the end of the input. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new Message(start, fields, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static void answer(Socket connection, int status, String body) throws IOException {
        write(connection, "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length
                + "\r\n\r\n" + body);
    }

    static void write(Socket connection, String text) throws IOException {
        OutputStream out = connection.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
