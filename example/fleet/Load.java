import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Sends twelve jobs a second to each of four nodes, the first at 127.0.0.1:7070, and prints every ten seconds how
 * many jobs got which answer, until it is stopped.
 */
public final class Load {
    private static final int NODES = 4;
    private static final int EACH_MILLIS = 1000 / 12 / NODES;

    private Load() { }

    public static void main(String[] args) throws InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        Map<String, LongAdder> ends = new ConcurrentHashMap<>();
        long start = System.currentTimeMillis();
        for (int n = 0; ; n++) {
            HttpRequest job = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + (7070 + n % NODES) + "/verify?user=u1"))
                .header("X-Txn", String.format("%08x%08x", start & 0xffffffffL, n)).header("X-Org", "steppe-aid")
                .header("X-Remaining", "5000m").POST(HttpRequest.BodyPublishers.ofString("a document")).build();
            client.sendAsync(job, BodyHandlers.discarding()).whenComplete((answer, fault) ->
                ends.computeIfAbsent(answer == null ? "no answer" : String.valueOf(answer.statusCode()), end -> new LongAdder()).increment());
            if (n % (10_000 / EACH_MILLIS) == 0 && n > 0) {
                System.out.println("jobs by answer: " + new TreeMap<>(ends));
            }
            Thread.sleep(EACH_MILLIS);
        }
    }
}
