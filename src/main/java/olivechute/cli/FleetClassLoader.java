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
 * Runs the commands that need the shared store with a class loader that adds the libraries in {@code lib} beside the
 * jar. These libraries are not on the jar's own class path, so that a node neither opens nor indexes them. Without that
 * folder, as in tests, the command runs on the current class path.
 */
public final class FleetClassLoader {
    public static final Set<String> COMMANDS = Set.of("store", "supervise", "change");

    private FleetClassLoader() {}

    /** Runs a command line and returns the exit status. */
    public static int run(String... args) {
        // The consensus library (Ratis) logs its internal steps at info, the level of this program's messages for
        // operators.
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
            // Never closed, as the command's threads load classes from it until the process exits.
            URLClassLoader loader = new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            var run = loader.loadClass("olivechute.cli.RootCommand").getDeclaredMethod("run", String[].class);
            run.setAccessible(true);
            return (int) run.invoke(null, (Object) args);
        } catch (InvocationTargetException e) {
            e.getCause().printStackTrace();
            return 1;
        } catch (ReflectiveOperationException | URISyntaxException | MalformedURLException e) {
            System.err.println("cannot read the program's jar: " + e);
            return 1;
        }
    }
}
