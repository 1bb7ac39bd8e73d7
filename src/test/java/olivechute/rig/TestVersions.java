package olivechute.rig;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Enumeration;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.zip.Deflater;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import java.util.zip.ZipOutputStream;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;

/**
 * Builds versions of the program as jars in a temporary directory: each is the built jar with another digest and,
 * except for the equivalent one, an injected fault. A patch that does not match exactly one place throws
 * {@link TestSetupException}, as a version without its fault would let a test pass wrongly.
 */
public final class TestVersions implements AutoCloseable {
    private static final String INJECTED_FAULTS = "olivechute/rig/InjectedFaults";
    private static final String DISPATCHER = "olivechute/proxy/RequestDispatcher";
    private static final String DOWNSTREAM_SERVER = "olivechute/downstream/DownstreamServer";
    private static final String NODE = "olivechute/node/Node";
    private static final String MARKER_ENTRY = "META-INF/version-mark";

    private final TestDirectory folder = new TestDirectory("versions");
    private final Path jar;

    /** Creates a builder of versions of this jar. */
    public TestVersions(Path jar) {
        this.jar = jar;
    }

    /** Returns a version that behaves like the jar. */
    public Path equivalent() {
        return buildJar("equal", Map.of());
    }

    /** Returns a version that rejects every tenth request of class sign, as its load balancer would. */
    public Path rejectingTenthOfSign() {
        return buildJar(
                "refuses",
                Map.of(
                        DISPATCHER,
                        code -> patch(
                                code,
                                "openRequest",
                                (method, call) -> {
                                    if (!call.targets("olivechute/loadbalancing/LoadBalancer", "onRequest")) {
                                        return call.writeUnchanged(method);
                                    }
                                    method.visitVarInsn(Opcodes.ALOAD, 0); // this, the dispatcher
                                    method.visitMethodInsn(
                                            Opcodes.INVOKESTATIC,
                                            INJECTED_FAULTS,
                                            "rejectEveryTenth",
                                            "(Lolivechute/loadbalancing/LoadBalancer;JLolivechute/loadbalancing/Request;L"
                                                    + DISPATCHER + ";)V",
                                            false);
                                    return true;
                                },
                                null)));
    }

    /** Returns a version that delays each request by this time after reading it. */
    public Path slower(int millis) {
        return buildJar(
                "slower",
                Map.of(
                        DOWNSTREAM_SERVER,
                        code -> patch(
                                code,
                                "open",
                                (method, call) -> {
                                    call.writeUnchanged(method);
                                    if (!call.targets(DOWNSTREAM_SERVER, "requestArrived")) {
                                        return false;
                                    }
                                    writeFaultCall(method, "delay", millis);
                                    return true;
                                },
                                null)));
    }

    /** Returns a version that exits with status 3 this long after it became ready. */
    public Path crashesAfter(int millis) {
        return buildJar(
                "crashes",
                Map.of(
                        DOWNSTREAM_SERVER,
                        code -> patch(code, "ready", null, method -> writeFaultCall(method, "crashAfter", millis))));
    }

    /** Returns a version that listens and serves but never reports ready. */
    public Path neverReady() {
        return buildJar(
                "unready",
                Map.of(
                        NODE,
                        code -> patch(
                                code,
                                "<init>",
                                (method, call) -> {
                                    if (!call.targets(DOWNSTREAM_SERVER, "ready")) {
                                        return call.writeUnchanged(method);
                                    }
                                    method.visitInsn(Opcodes.POP); // the receiver of the removed call
                                    return true;
                                },
                                null)));
    }

    /** Returns the path of a file beside the versions. */
    Path path(String name) {
        return folder.resolve(name);
    }

    /** Returns the SHA-256 digest of a file in hexadecimal. */
    public static String digest(Path file) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(file)));
        } catch (IOException | NoSuchAlgorithmException e) {
            throw new TestSetupException("cannot compute the digest of " + file, e);
        }
    }

    /** A method call in the code of the program. */
    private record MethodCall(int opcode, String owner, String name, String descriptor, boolean ofInterface) {
        boolean targets(String type, String method) {
            return owner.equals(type) && name.equals(method);
        }

        /** Returns false, which as the result of a patch means that nothing was changed. */
        boolean writeUnchanged(MethodVisitor method) {
            method.visitMethodInsn(opcode, owner, name, descriptor, ofInterface);
            return false;
        }
    }

    /** Writes a call, patched or unchanged; returns true if it was patched. */
    private interface CallPatch {
        boolean write(MethodVisitor method, MethodCall call);
    }

    private interface MethodEntryPatch {
        void write(MethodVisitor method);
    }

    private static void writeFaultCall(MethodVisitor method, String name, int millis) {
        method.visitLdcInsn(millis);
        method.visitMethodInsn(Opcodes.INVOKESTATIC, INJECTED_FAULTS, name, "(I)V", false);
    }

    /** Returns the class with calls in a method patched, or with code inserted at the start of the method. */
    private static byte[] patch(byte[] code, String in, CallPatch calls, MethodEntryPatch begin) {
        int[] changed = {0};
        ClassWriter writer = new ClassWriter(ClassWriter.COMPUTE_MAXS);
        new ClassReader(code)
                .accept(
                        new ClassVisitor(Opcodes.ASM9, writer) {
                            @Override
                            public MethodVisitor visitMethod(
                                    int access, String name, String descriptor, String signature, String[] exceptions) {
                                MethodVisitor as = super.visitMethod(access, name, descriptor, signature, exceptions);
                                return !name.equals(in)
                                        ? as
                                        : new MethodVisitor(Opcodes.ASM9, as) {
                                            @Override
                                            public void visitCode() {
                                                super.visitCode();
                                                if (begin != null) {
                                                    begin.write(mv);
                                                    changed[0]++;
                                                }
                                            }

                                            @Override
                                            public void visitMethodInsn(
                                                    int opcode,
                                                    String owner,
                                                    String method,
                                                    String of,
                                                    boolean ofInterface) {
                                                MethodCall call =
                                                        new MethodCall(opcode, owner, method, of, ofInterface);
                                                if (calls == null) {
                                                    call.writeUnchanged(mv);
                                                } else if (calls.write(mv, call)) {
                                                    changed[0]++;
                                                }
                                            }
                                        };
                            }
                        },
                        0);
        if (changed[0] != 1) {
            throw new TestSetupException(
                    "the patch of " + in + " changed " + changed[0] + " places, it should change one");
        }
        return writer.toByteArray();
    }

    private Path buildJar(String name, Map<String, UnaryOperator<byte[]>> patches) {
        Path made = folder.resolve(name + ".jar");
        try (ZipFile from = new ZipFile(jar.toFile());
                ZipOutputStream to = new ZipOutputStream(Files.newOutputStream(made))) {
            to.setLevel(Deflater.BEST_SPEED);
            int patched = 0;
            for (Enumeration<? extends ZipEntry> all = from.entries(); all.hasMoreElements(); ) {
                ZipEntry entry = all.nextElement();
                byte[] bytes;
                try (InputStream in = from.getInputStream(entry)) {
                    bytes = in.readAllBytes();
                }
                UnaryOperator<byte[]> patch = patches.get(entry.getName().replaceAll("\\.class$", ""));
                patched += patch == null ? 0 : 1;
                put(to, entry.getName(), patch == null ? bytes : patch.apply(bytes));
            }
            if (patched != patches.size()) {
                throw new TestSetupException(jar + " lacks a class of " + patches.keySet());
            }
            put(to, MARKER_ENTRY, (name + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8));
            try (InputStream in = InjectedFaults.class.getResourceAsStream("InjectedFaults.class")) {
                put(to, INJECTED_FAULTS + ".class", in.readAllBytes());
            }
            return made;
        } catch (IOException e) {
            throw new TestSetupException("version " + name + " cannot be built from " + jar, e);
        }
    }

    private static void put(ZipOutputStream to, String name, byte[] bytes) throws IOException {
        to.putNextEntry(new ZipEntry(name));
        to.write(bytes);
        to.closeEntry();
    }

    @Override
    public void close() {
        folder.close();
    }
}
