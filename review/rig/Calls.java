import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Predicate;

/** The way of the workers' calls to a node: each call goes on a connection of its own, through a proxy that can lose its answer. */
final class Calls {
    private static final int TRIES = 10;

    private final Rig rig;
    private final int nodePort;
    private final int retryAfterMs;
    private final Predicate<String> losesAnswer;
    private final ServerSocket proxy;

    /**
     * Calls the node at this port. A call that gets no answer is tried again after {@code retryAfterMs}; the proxy
     * loses the answer to a call whose body {@code losesAnswer} accepts, and resets the worker's connection.
     */
    Calls(Rig rig, int nodePort, int retryAfterMs, Predicate<String> losesAnswer) throws IOException {
        this.rig = rig;
        this.nodePort = nodePort;
        this.retryAfterMs = retryAfterMs;
        this.losesAnswer = losesAnswer;
        this.proxy = Http.serve(this::forward);
    }

    /** Passes one call on, and its answer back unless that is to be lost. */
    private void forward(Http.Message call, Socket worker) throws IOException {
        Http.Message answer;
        try (Socket node = new Socket("127.0.0.1", nodePort)) {
            node.setTcpNoDelay(true);
            Http.write(node, text(call.body()));
            answer = Http.read(node.getInputStream());
        }
        if (answer == null) {
            worker.close();
        } else if (losesAnswer.test(call.body())) {
            rig.log("the answer " + answer.status() + " to " + call.body() + " is lost");
            worker.setSoLinger(true, 0);
            worker.close();
        } else {
            Http.answer(worker, answer.status(), "");
        }
    }

    private static String text(String body) {
        return "POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Makes a call and repeats it until it is answered, ten times at most; returns at once. */
    void tell(String id, String from, String rest) {
        String body = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\"," + rest + "}";
        Http.daemon(() -> {
            for (int i = 0; i < TRIES; i++) {
                try (Socket socket = new Socket("127.0.0.1", proxy.getLocalPort())) {
                    socket.setTcpNoDelay(true);
                    Http.write(socket, text(body));
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    Http.Message answer = Http.read(in);
                    if (answer != null) {
                        rig.log(from + " told " + body + (i == 0 ? "" : ", try " + (i + 1)) + ": " + answer.status());
                        return;
                    }
                } catch (IOException e) {
                    rig.log(from + " told " + body + " and got no answer: " + e.getMessage());
                }
                sleep(retryAfterMs);
            }
        });
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
