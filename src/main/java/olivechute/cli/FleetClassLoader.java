package olivechute.cli;

import java.io.File;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Runs the commands that share a store with the libraries in {@code lib} beside the jar. They are not on the jar's own
 * path, so that a node neither opens nor indexes them. Where there is no such folder, as in tests, the command runs on
 * the path as it is.
 */
public final class FleetClassLoader {
    public static final Set<String> COMMANDS = Set.of("store", "supervise", "change");

    private FleetClassLoader() {}

    /** Runs a command line; returns the exit status. */
    public static int run(String... args) {
        // The consensus tells each step of its own at the level at which ours tells what an operator wants to see.
        System.setProperty(
                "tinylog.level@org.apache.ratis", System.getProperty("tinylog.level@org.apache.ratis", "warn"));
        try {
            File jar = new File(FleetClassLoader.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            File[] libraries = new File(jar.getParentFile(), "lib").listFiles((folder, name) -> name.endsWith(".jar"));
            if (!jar.isFile() || libraries == null) {
                return RootCommand.run(args);
            }
            List<URL> urls = new ArrayList<>();
            urls.add(jar.toURI().toURL());
            for (File library : libraries) {
                urls.add(library.toURI().toURL());
            }
            // Never closed: the command's threads load from it until the process ends.
            URLClassLoader loader = new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            var run = loader.loadClass("olivechute.cli.RootCommand").getDeclaredMethod("run", String[].class);
            run.setAccessible(true);
            return (int) run.invoke(null, (Object) args);
        } catch (InvocationTargetException e) {
            e.getCause().printStackTrace();
            return 1;
        } catch (ReflectiveOperationException | URISyntaxException | MalformedURLException e) {
            System.err.println("the program's own jar cannot be read: " + e);
            return 1;
        }
    }
}
