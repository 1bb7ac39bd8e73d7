package olivechute;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import olivechute.benchlink.BenchLink;
import olivechute.config.BadValueException;
import olivechute.config.NodeConfig;
import org.tinylog.Logger;
import sun.misc.Signal;

/** Command line: {@code serve} runs a node, {@code benchlink} the simulator's adapter on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs the named part; exits with 2 on a wrong call, 1 on a bad line or configuration, 0 at the end of input. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> System.exit(BenchLink.run(System.in, System.out, System.err));
            case "serve" -> serve();
            default -> System.exit(Commands.run(args));
        }
    }

    private static void serve() {
        try {
            // Without a handler of ours the virtual machine ends on SIGHUP; one that comes early waits for the node.
            CompletableFuture<Node> started = new CompletableFuture<>();
            Signal.handle(new Signal("HUP"), signal -> reload(started.join()));
            Node node = new Node(NodeConfig.load(System.getenv()));
            started.complete(node);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(node), "drain"));
        } catch (BadValueException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("LB_LISTEN: cannot listen: " + e.getMessage());
            System.exit(1);
        }
    }

    /** A configuration that cannot be used changes nothing but the log. */
    private static synchronized void reload(Node node) {
        try {
            node.reload(NodeConfig.reload(System.getenv()));
        } catch (BadValueException e) {
            Logger.error("configuration not changed: {}", e.getMessage());
        }
    }

    private static void drain(Node node) {
        try {
            node.drain();
        } catch (InterruptedException e) {
            Logger.warn("drain cut short");
        }
    }
}
