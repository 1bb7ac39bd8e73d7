package olivechute;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the dependencies between packages: they point to lower layers only, and the deterministic packages use no I/O,
 * no clock and no random source of their own.
 */
public class PackageDependencyTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("olivechute");

    private static String packagePattern(String name) {
        return "olivechute." + name + "..";
    }

    private static final List<String> ALL_PACKAGES = List.of(
            "loadbalancing",
            "proxy",
            "http",
            "memory",
            "net",
            "config",
            "log",
            "downstream",
            "upstream",
            "discovery",
            "simulator",
            "identity",
            "authorization",
            "tls",
            "security",
            "svid",
            "grpc",
            "testca",
            "benchmark",
            "health",
            "endpointlist",
            "metrics",
            "error",
            "store",
            "rollout",
            "controller",
            "supervisor",
            "fleet",
            "node",
            "cli",
            "loganalysis");

    /** Packages that carry out changes of a fleet and that no node loads. */
    private static final String[] FLEET_PACKAGES = {
        packagePattern("error"),
        packagePattern("store"),
        packagePattern("rollout"),
        packagePattern("controller"),
        packagePattern("supervisor")
    };

    /**
     * Packages with deterministic logic. Of the store only the top package is included, as the replica messages and the
     * code that runs replicas take no part in its decisions.
     */
    private static final String[] DETERMINISTIC_PACKAGES = {
        packagePattern("loadbalancing"),
        packagePattern("endpointlist"),
        packagePattern("health"),
        packagePattern("identity"),
        packagePattern("authorization"),
        packagePattern("grpc"),
        packagePattern("rollout"),
        "olivechute.store"
    };

    /** Each package with the packages of this project on which it may depend. */
    @DataProvider
    public Object[][] layers() {
        return new Object[][] {
            {"loadbalancing", List.of()},
            {"memory", List.of()},
            {"http", List.of("memory")},
            {"net", List.of("memory")},
            {"log", List.of()},
            {"identity", List.of()},
            {"grpc", List.of()},
            {"fleet", List.of()},
            {"error", List.of()},
            {"endpointlist", List.of("loadbalancing")},
            {"health", List.of("loadbalancing", "endpointlist")},
            {"proxy", List.of("loadbalancing", "log", "memory", "health", "endpointlist")},
            {"config", List.of("proxy", "loadbalancing", "identity", "authorization")},
            {"tls", List.of("identity")},
            {"authorization", List.of("identity")},
            {"testca", List.of("identity", "grpc", "net", "svid")},
            {"downstream", List.of("proxy", "loadbalancing", "log", "http", "memory", "net", "config")},
            {"upstream", List.of("proxy", "loadbalancing", "http", "memory", "net", "config", "health")},
            {"discovery", List.of("proxy", "loadbalancing", "http", "memory", "net", "config", "endpointlist")},
            {"simulator", List.of("loadbalancing", "config")},
            {
                "security",
                List.of(
                        "proxy",
                        "loadbalancing",
                        "http",
                        "memory",
                        "net",
                        "config",
                        "downstream",
                        "upstream",
                        "identity",
                        "authorization",
                        "tls",
                        "svid")
            },
            {"svid", List.of("memory", "net", "identity", "grpc")},
            {"metrics", List.of("proxy", "config", "net", "loadbalancing", "fleet")},
            {"store", List.of("error", "config", "net")},
            {"rollout", List.of("error")},
            {"controller", List.of("error", "store", "rollout", "config", "net", "metrics", "fleet")},
            {"supervisor", List.of("error", "store", "rollout", "config", "net", "http", "fleet")},
            {
                "node",
                List.of(
                        "proxy",
                        "loadbalancing",
                        "http",
                        "memory",
                        "net",
                        "config",
                        "log",
                        "downstream",
                        "upstream",
                        "discovery",
                        "endpointlist",
                        "security",
                        "metrics")
            },
            {"loganalysis", List.of()},
        };
    }

    @Test(dataProvider = "layers")
    public void packagesDependOnLowerLayersOnly(String name, List<String> allowed) {
        List<String> others = new ArrayList<>(ALL_PACKAGES);
        others.removeAll(allowed);
        others.remove(name);
        noClasses()
                .that()
                .resideInAPackage(packagePattern(name))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(others.stream()
                        .map(PackageDependencyTest::packagePattern)
                        .toArray(String[]::new))
                .check(CLASSES);
    }

    @Test
    public void packagesHaveNoCycles() {
        SlicesRuleDefinition.slices()
                .matching("olivechute.(*)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }

    @Test
    public void deterministicPackagesDoNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage(DETERMINISTIC_PACKAGES)
                .or()
                .haveSimpleName("IdleConnections")
                .or()
                .haveSimpleName("RequestRules")
                .or()
                .haveSimpleName("DelayBuckets")
                .or()
                .haveSimpleName("TlsStateMachine")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..")
                .check(CLASSES);
        // MemoryStore blocks its callers, as the replicated store does.
        noClasses()
                .that()
                .resideInAnyPackage(DETERMINISTIC_PACKAGES)
                .and()
                .doNotHaveSimpleName("MemoryStore")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .callMethod(Math.class, "random")
                .check(CLASSES);
    }

    /** A node does not load what it does not need: only the command line may depend on these packages. */
    @Test
    public void servingCodeDoesNotDependOnTools() {
        String[] tools = Stream.concat(
                        Stream.of(
                                packagePattern("benchmark"),
                                packagePattern("loganalysis"),
                                packagePattern("testca"),
                                packagePattern("simulator")),
                        Stream.of(FLEET_PACKAGES))
                .toArray(String[]::new);
        String[] libraries = {
            "picocli..",
            "org.HdrHistogram..",
            "org.bouncycastle..",
            "org.objectweb.asm..",
            "org.apache.ratis..",
            "org.pcollections.."
        };
        noClasses()
                .that()
                .resideOutsideOfPackages(tools)
                .and()
                .haveNameNotMatching("olivechute\\.cli\\.(RootCommand|IdentityCommand|StoreCommand)(\\$.*)?")
                .and()
                .doNotHaveFullyQualifiedName("olivechute.Main")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        Stream.of(tools, libraries).flatMap(Stream::of).toArray(String[]::new))
                .check(CLASSES);
    }

    /** Of the fleet packages only the command classes depend on the command line. */
    @Test
    public void onlyCommandsOfFleetPackagesDependOnTheCommandLine() {
        noClasses()
                .that()
                .resideInAnyPackage(FLEET_PACKAGES)
                .and()
                .haveNameNotMatching(".*Command(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "picocli..",
                        packagePattern("benchmark"),
                        packagePattern("loganalysis"),
                        packagePattern("testca"),
                        packagePattern("simulator"))
                .check(CLASSES);
    }

    /**
     * Only the node and the command line report to the supervisor: no lower layer may load the library of the messages
     * (Protocol Buffers) for that.
     */
    @Test
    public void onlyTheNodeDependsOnMetricsReporting() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        packagePattern("metrics"),
                        packagePattern("controller"),
                        packagePattern("supervisor"),
                        packagePattern("fleet"))
                .and()
                .haveNameNotMatching("olivechute\\.(node|cli)\\.[A-Za-z]+(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packagePattern("metrics"), packagePattern("fleet"))
                .check(CLASSES);
    }
}
