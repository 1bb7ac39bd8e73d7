import com.sun.net.httpserver.HttpExchange;
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
 * A toy to try the node with: discovery on 127.0.0.1:8500, whose list never changes, and one sign worker on
 * 127.0.0.1:7171 that "runs" every job for 200 ms and reports to the node at 127.0.0.1:7070.
 * Start it with {@code java example/ToyServer.java}.
 */
public final class ToyServer {
    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final ScheduledExecutorService LATER = Executors.newScheduledThreadPool(4);

    private ToyServer() { }

    public static void main(String[] args) throws IOException {
        HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", 8500), 0);
        discovery.createContext("/registry/instances", ToyServer::list);
        discovery.setExecutor(Executors.newCachedThreadPool());
        discovery.start();
        HttpServer worker = HttpServer.create(new InetSocketAddress("127.0.0.1", 7171), 0);
        worker.createContext("/", ToyServer::job);
        worker.setExecutor(Executors.newCachedThreadPool());
        worker.start();
        System.out.println("discovery on 127.0.0.1:8500, sign worker toy-1 on 127.0.0.1:7171");
    }

    private static void list(HttpExchange call) throws IOException {
        String query = call.getRequestURI().getQuery();
        boolean watch = query != null && query.contains("since=1");
        if (watch) {
            try {
                Thread.sleep(5000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String host = "{\"name\":\"toy-1\",\"address\":\"127.0.0.1:7171\",\"zone\":\"almaty-1\",\"type\":\"k2-10\","
            + "\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}";
        reply(call, 200, "{\"index\":1,\"snapshot\":" + !watch + ",\"endpoints\":[" + (watch ? "" : host) + "]}");
    }

    private static void job(HttpExchange call) throws IOException {
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

    private static void tell(String id, String rest) {
        String body = "{\"id\":\"" + id + "\",\"from\":\"toy-1\"," + rest + "}";
        try {
            CLIENT.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:7070/_jobs/news"))
                .POST(HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            System.out.println("no node at 127.0.0.1:7070: " + e.getMessage());
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
