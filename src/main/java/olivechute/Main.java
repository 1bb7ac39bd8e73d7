package olivechute;

import olivechute.benchlink.BenchLink;

/** Command line: {@code benchlink} runs the simulator's adapter on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs the named part; exits with 2 on a wrong call, 1 on a bad line, 0 at the end of input. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar olivechute.jar benchlink");
            System.exit(2);
        }
        System.exit(BenchLink.run(System.in, System.out, System.err));
    }
}
