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
 * Versions of the program as jars in a temporary folder, each the built jar with another digest and, but for the equal
 * one, a fault. A patch that finds nothing to change is a {@link RigFault}: a version without its fault would let a
 * test pass for nothing.
 */
public final class Versions implements AutoCloseable {
    private static final String PLANTED = "olivechute/rig/Planted";
    private static final String DISPATCHER = "olivechute/proxy/RequestDispatcher";
    private static final String FRONT = "olivechute/downstream/DownstreamServer";
    private static final String NODE = "olivechute/node/Node";
    private static final String MARK = "META-INF/version-mark";

    private final Folder folder = new Folder("versions");
    private final Path jar;

    /** Makes versions of this jar. */
    public Versions(Path jar) {
        this.jar = jar;
    }

    /** Does the same as the jar. */
    public Path equal() {
        return make("equal", Map.of());
    }

    /** Refuses every tenth stream of class sign, as its own decisions would. */
    public Path refusesTenthOfSign() {
        return make(
                "refuses",
                Map.of(
                        DISPATCHER,
                        code -> patch(
                                code,
                                "openRequest",
                                (method, call) -> {
                                    if (!call.is("olivechute/loadbalancing/LoadBalancer", "onRequest")) {
                                        return call.asIs(method);
                                    }
                                    method.visitVarInsn(Opcodes.ALOAD, 0);
                                    method.visitMethodInsn(
                                            Opcodes.INVOKESTATIC,
                                            PLANTED,
                                            "refuseTenth",
                                            "(Lolivechute/loadbalancing/LoadBalancer;JLolivechute/loadbalancing/Request;L"
                                                    + DISPATCHER + ";)V",
                                            false);
                                    return true;
                                },
                                null)));
    }

    /** Hands each stream on so much later than it took it. */
    public Path slower(int millis) {
        return make(
                "slower",
                Map.of(
                        FRONT,
                        code -> patch(
                                code,
                                "open",
                                (method, call) -> {
                                    call.asIs(method);
                                    if (!call.is(FRONT, "requestArrived")) {
                                        return false;
                                    }
                                    call(method, "slow", millis);
                                    return true;
                                },
                                null)));
    }

    /** Ends by itself with status 3 so long after it got ready. */
    public Path crashesAfter(int millis) {
        return make(
                "crashes", Map.of(FRONT, code -> patch(code, "ready", null, method -> call(method, "crash", millis))));
    }

    /** Listens and serves, but never says that it is ready. */
    public Path neverReady() {
        return make(
                "unready",
                Map.of(
                        NODE,
                        code -> patch(
                                code,
                                "<init>",
                                (method, call) -> {
                                    if (!call.is(FRONT, "ready")) {
                                        return call.asIs(method);
                                    }
                                    method.visitInsn(Opcodes.POP);
                                    return true;
                                },
                                null)));
    }

    /** A file of this name beside the versions. */
    Path path(String name) {
        return folder.at(name);
    }

    /** SHA-256 of a file, in hexadecimal digits. */
    public static String digest(Path file) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(file)));
        } catch (IOException | NoSuchAlgorithmException e) {
            throw new RigFault("no digest of " + file, e);
        }
    }

    /** A call in the program's code. */
    private record Call(int opcode, String owner, String name, String descriptor, boolean ofInterface) {
        boolean is(String type, String method) {
            return owner.equals(type) && name.equals(method);
        }

        boolean asIs(MethodVisitor method) {
            method.visitMethodInsn(opcode, owner, name, descriptor, ofInterface);
            return false;
        }
    }

    /** Writes a call, changed or as it is; true if it changed something. */
    private interface CallPatch {
        boolean write(MethodVisitor method, Call call);
    }

    private interface Begin {
        void write(MethodVisitor method);
    }

    private static void call(MethodVisitor method, String name, int millis) {
        method.visitLdcInsn(millis);
        method.visitMethodInsn(Opcodes.INVOKESTATIC, PLANTED, name, "(I)V", false);
    }

    /** The class with calls in a method changed, or something done at the method's begin. */
    private static byte[] patch(byte[] code, String in, CallPatch calls, Begin begin) {
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
                                                Call call = new Call(opcode, owner, method, of, ofInterface);
                                                if (calls == null) {
                                                    call.asIs(mv);
                                                } else if (calls.write(mv, call)) {
                                                    changed[0]++;
                                                }
                                            }
                                        };
                            }
                        },
                        0);
        if (changed[0] != 1) {
            throw new RigFault("the patch of " + in + " changed " + changed[0] + " places, it should change one");
        }
        return writer.toByteArray();
    }

    private Path make(String name, Map<String, UnaryOperator<byte[]>> patches) {
        Path made = folder.at(name + ".jar");
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
                throw new RigFault(jar + " lacks a class of " + patches.keySet());
            }
            put(to, MARK, (name + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8));
            try (InputStream in = Planted.class.getResourceAsStream("Planted.class")) {
                put(to, PLANTED + ".class", in.readAllBytes());
            }
            return made;
        } catch (IOException e) {
            throw new RigFault("version " + name + " cannot be made of " + jar, e);
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
