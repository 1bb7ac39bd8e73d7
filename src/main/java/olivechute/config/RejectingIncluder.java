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
 * Refuses every include of a settings text: what is checked is what is there, and no file of the machine and no address
 * has a part in it. The library asks the plain interface only for an include without a kind; of file, url and classpath
 * it asks the others.
 */
public final class RejectingIncluder
        implements ConfigIncluder, ConfigIncluderFile, ConfigIncluderURL, ConfigIncluderClasspath {
    @Override
    public ConfigIncluder withFallback(ConfigIncluder other) {
        return this;
    }

    @Override
    public ConfigObject include(ConfigIncludeContext context, String location) {
        throw new ConfigException.Generic("includes no other file: '" + location + "'");
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
