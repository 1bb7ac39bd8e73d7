package olivechute.supervisor;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigResolveOptions;
import java.util.List;
import olivechute.config.RejectingIncluder;
import olivechute.error.ErrorCode;
import olivechute.error.SettingsException;

/** Merges a version's settings into a node's own configuration file. */
final class SettingsOverlay {
    private static final String CEILINGS = "settings.ceilings";
    /**
     * Paths that a node applies when it reads its configuration again; see
     * {@link olivechute.config.NodeConfig#restartRequiredKeys}.
     */
    private static final List<String> RELOADABLE_PATHS =
            List.of("discovery", CEILINGS + ".open_cap", CEILINGS + ".dial_timeout");

    private SettingsOverlay() {}

    /**
     * Returns the merged configuration as JSON on one line, in which the overlay takes precedence. Throws
     * SETTINGS_INVALID if a text is not valid HOCON or refers to a value that does not exist.
     */
    static String merge(String base, String overlay) throws SettingsException {
        try {
            Config merged = parse(overlay).withFallback(parse(base)).resolve(ConfigResolveOptions.noSystem());
            return merged.root().render(ConfigRenderOptions.concise());
        } catch (ConfigException e) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, "settings of a version: " + e.getMessage(), e);
        }
    }

    /** Whether the configurations differ only in what a node can change while it runs. */
    static boolean canReload(String before, String after) {
        return withoutReloadable(before).equals(withoutReloadable(after));
    }

    private static Config withoutReloadable(String json) {
        Config rest = parse(json);
        for (String path : RELOADABLE_PATHS) {
            rest = rest.withoutPath(path);
        }
        // A node treats an object without keys as a missing one.
        return rest.hasPath(CEILINGS) && rest.getConfig(CEILINGS).isEmpty() ? rest.withoutPath(CEILINGS) : rest;
    }

    private static Config parse(String text) {
        return ConfigFactory.parseString(text, ConfigParseOptions.defaults().setIncluder(new RejectingIncluder()));
    }
}
