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

/** A version's settings laid over a node's own file. */
final class SettingsOverlay {
    private static final String CEILINGS = "settings.ceilings";
    /** What a node takes over when it reads its file again; see {@link olivechute.config.NodeConfig#fixedSince}. */
    private static final List<String> RELOADABLE_PATHS =
            List.of("discovery", CEILINGS + ".open_cap", CEILINGS + ".dial_timeout");

    private SettingsOverlay() {}

    /**
     * The whole configuration as JSON on one line; SETTINGS_INVALID where the text is no HOCON or refers to what is not
     * there.
     */
    static String merge(String base, String overlay) throws SettingsException {
        try {
            Config merged = parse(overlay).withFallback(parse(base)).resolve(ConfigResolveOptions.noSystem());
            return merged.root().render(ConfigRenderOptions.concise());
        } catch (ConfigException e) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, "settings of a version: " + e.getMessage(), e);
        }
    }

    /** Whether nothing differs but what a node can change while it runs. */
    static boolean canReload(String before, String after) {
        return withoutReloadable(before).equals(withoutReloadable(after));
    }

    private static Config withoutReloadable(String json) {
        Config rest = parse(json);
        for (String path : RELOADABLE_PATHS) {
            rest = rest.withoutPath(path);
        }
        // To a node an object without keys is as good as none.
        return rest.hasPath(CEILINGS) && rest.getConfig(CEILINGS).isEmpty() ? rest.withoutPath(CEILINGS) : rest;
    }

    private static Config parse(String text) {
        return ConfigFactory.parseString(text, ConfigParseOptions.defaults().setIncluder(new RejectingIncluder()));
    }
}
