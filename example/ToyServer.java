import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A toy server for trying out nodes. For the node at 127.0.0.1:7070 it runs discovery on 127.0.0.1:8500, whose list
 * never changes, and one sign worker on 127.0.0.1:7171, which "runs" every job for 200 ms and reports to that node;
 * for a second node the same at ports one higher, and so on. Start it with {@code java example/ToyServer.java
 * [NODES]}.
 */
public final class ToyServer {
    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final ScheduledExecutorService LATER = Executors.newScheduledThreadPool(4);

    private final int node;

    private ToyServer(int node) {
        this.node = node;
    }

    public static void main(String[] args) throws IOException {
        int nodes = args.length == 0 ? 1 : Integer.parseInt(args[0]);
        for (int node = 0; node < nodes; node++) {
            ToyServer toy = new ToyServer(node);
            serve(8500 + node, "/registry/instances", toy::list);
            serve(7171 + node, "/", toy::job);
            System.out.println("discovery on 127.0.0.1:" + (8500 + node) + ", sign worker toy-1 on 127.0.0.1:" + (7171 + node));
        }
    }

    private static void serve(int port, String path, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.createContext(path, handler);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
    }

    private void list(HttpExchange call) throws IOException {
        String query = call.getRequestURI().getQuery();
        boolean watch = query != null && query.contains("since=1");
        if (watch) {
            try {
                Thread.sleep(5000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String host = "{\"name\":\"toy-1\",\"address\":\"127.0.0.1:" + (7171 + node) + "\",\"zone\":\"almaty-1\",\"type\":\"k2-10\","
            + "\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}";
        reply(call, 200, "{\"index\":1,\"snapshot\":" + !watch + ",\"endpoints\":[" + (watch ? "" : host) + "]}");
    }

    private void job(HttpExchange call) throws IOException {
        String id = call.getRequestHeaders().getFirst("X-Txn");
        int bytes = call.getRequestBody().readAllBytes().length;
        System.out.println(call.getRequestMethod() + " " + call.getRequestURI() + " " + id);
        if (call.getRequestMethod().equals("DELETE")) {
            reply(call, 200, "");
            return;
        }
        reply(call, 202, "");
        LATER.execute(() -> tell(id, "\"state\":\"started\""));
        LATER.schedule(() -> tell(id, "\"state\":\"done\",\"result\":\"" + bytes + " bytes in order\\n\","
            + "\"load\":{\"x0\":3}"), 200, TimeUnit.MILLISECONDS);
    }

    private void tell(String id, String rest) {
        String body = "{\"id\":\"" + id + "\",\"from\":\"toy-1\"," + rest + "}";
        try {
            CLIENT.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + (7070 + node) + "/_jobs/news"))
                .POST(HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            System.out.println("no node at 127.0.0.1:" + (7070 + node) + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void reply(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }
}
