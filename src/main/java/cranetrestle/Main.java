package cranetrestle;

/** Command line: {@code wirehost} runs the adapter on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs the named part; exits with 2 on a wrong call, 1 on a bad line, 0 at the end of input. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar cranetrestle.jar wirehost");
            System.exit(2);
        }
        System.exit(WireHost.run(System.in, System.out, System.err));
    }
}
