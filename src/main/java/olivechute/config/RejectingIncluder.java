package olivechute.config;

import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigIncludeContext;
import com.typesafe.config.ConfigIncluder;
import com.typesafe.config.ConfigIncluderClasspath;
import com.typesafe.config.ConfigIncluderFile;
import com.typesafe.config.ConfigIncluderURL;
import com.typesafe.config.ConfigObject;
import java.io.File;
import java.net.URL;

/**
 * Rejects every include in a settings file, so that the text is checked as it stands and no other file or URL is read.
 * The HOCON library calls {@link ConfigIncluder} only for an include without a kind, and the other interfaces for file,
 * url and classpath.
 */
public final class RejectingIncluder
        implements ConfigIncluder, ConfigIncluderFile, ConfigIncluderURL, ConfigIncluderClasspath {
    @Override
    public ConfigIncluder withFallback(ConfigIncluder other) {
        return this;
    }

    @Override
    public ConfigObject include(ConfigIncludeContext context, String location) {
        throw new ConfigException.Generic("include is not supported: '" + location + "'");
    }

    @Override
    public ConfigObject includeFile(ConfigIncludeContext context, File location) {
        return include(context, location.toString());
    }

    @Override
    public ConfigObject includeURL(ConfigIncludeContext context, URL location) {
        return include(context, location.toString());
    }

    @Override
    public ConfigObject includeResources(ConfigIncludeContext context, String location) {
        return include(context, location);
    }
}
