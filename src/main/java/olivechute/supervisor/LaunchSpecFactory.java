package olivechute.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import olivechute.error.ErrorCode;
import olivechute.error.FleetException;
import olivechute.error.SettingsException;
import olivechute.fleet.wire.VersionSpec;
import olivechute.supervisor.SupervisorSettings.ManagedNode;

/** Builds the {@link LaunchSpec} of a node from a version in the store and the node's base configuration file. */
final class LaunchSpecFactory {
    private final String defaultJar;

    /** {@code defaultJar}: the jar for versions that name no program. */
    LaunchSpecFactory(String defaultJar) {
        this.defaultJar = defaultJar;
    }

    /**
     * Creates the event for the node's state machine. Program and settings are checked here, so that the error of an
     * order that cannot be carried out is known before any process is ended for it.
     */
    NodeEvent.OrderReceived createOrder(ManagedNode node, VersionSpec spec, long orderNumber) {
        String program = spec.getProgram().isEmpty() ? defaultJar : spec.getProgram();
        try {
            String actualDigest = ArtifactVerifier.verify(program, spec.getDigest());
            String configJson = mergedConfig(node, spec.getSettings());
            return new NodeEvent.OrderReceived(
                    new LaunchSpec(spec.getId(), orderNumber, program, spec.getDigest(), actualDigest, configJson), "");
        } catch (FleetException e) {
            return new NodeEvent.OrderReceived(
                    new LaunchSpec(spec.getId(), orderNumber, program, spec.getDigest(), "", "{}"), e.getMessage());
        }
    }

    private static String mergedConfig(ManagedNode node, String overlay) throws SettingsException {
        try {
            return SettingsOverlay.merge(Files.readString(node.configFile()), overlay);
        } catch (IOException e) {
            throw new SettingsException(
                    ErrorCode.SETTINGS_INVALID, node.name() + ": cannot read " + node.configFile() + ": " + e, e);
        }
    }
}
