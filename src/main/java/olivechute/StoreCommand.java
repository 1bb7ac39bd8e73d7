package olivechute;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import olivechute.fault.FleetFault;
import olivechute.store.raft.Replica;
import olivechute.store.raft.ReplicaSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs one replica of the shared store. */
@Command(name = "store", mixinStandardHelpOptions = true, description = "Runs one replica of the shared store.",
    footer = "Exit status: 0 done, 1 settings that cannot be used or trouble that is told, 2 wrong call.")
final class StoreCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings in HOCON.")
    private Path settings;

    @Override
    public Integer call() {
        try {
            Replica replica = new Replica(ReplicaSettings.load(settings), this::say);
            // The driver of changes goes here: replica.onLead(...).
            replica.start();
            Runtime.getRuntime().addShutdownHook(new Thread(replica::close, "close"));
            FleetFault fault = replica.ended().join();
            if (fault == null) {
                return 0;
            }
            say(fault.getMessage());
        } catch (FleetFault e) {
            say(e.getMessage());
        }
        return 1;
    }

    private synchronized void say(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}
