package olivechute.benchmark;

import java.lang.instrument.ClassFileTransformer;
import java.lang.instrument.Instrumentation;
import java.security.ProtectionDomain;
import java.util.Map;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;

/**
 * A Java agent that counts byte copies: in the classes of the node and of its JSON parser, it replaces calls that copy
 * bytes, and every store of one byte, by calls of {@link CopyCounter}. Copies inside other platform calls, such as
 * creating a String, are not counted; they show among the allocations.
 */
public final class CopyAgent implements ClassFileTransformer {
    private static final String COUNTER = "olivechute/benchmark/CopyCounter";
    private static final String BAOS = "java/io/ByteArrayOutputStream";
    private static final String CHANNEL = "java/nio/channels/SocketChannel";
    private static final String BUFFER = "java/nio/ByteBuffer";
    /**
     * Calls that copy bytes, as owner, name and descriptor, with the type of the receiver, which becomes the first
     * parameter of the counter method; empty for static calls.
     */
    private static final Map<String, String> CALLS = Map.ofEntries(
            Map.entry("java/lang/System.arraycopy(Ljava/lang/Object;ILjava/lang/Object;II)V", ""),
            Map.entry("java/util/Arrays.copyOf([BI)[B", ""),
            Map.entry("java/util/Arrays.copyOfRange([BII)[B", ""),
            Map.entry("java/lang/String.getBytes(Ljava/nio/charset/Charset;)[B", "java/lang/String"),
            Map.entry("java/lang/String.getBytes(II[BI)V", "java/lang/String"),
            Map.entry(BAOS + ".write([BII)V", BAOS),
            Map.entry(BAOS + ".write(I)V", BAOS),
            Map.entry(BAOS + ".toByteArray()[B", BAOS),
            Map.entry(BUFFER + ".put([BII)Ljava/nio/ByteBuffer;", BUFFER),
            Map.entry(BUFFER + ".put(Ljava/nio/ByteBuffer;)Ljava/nio/ByteBuffer;", BUFFER),
            Map.entry(BUFFER + ".get([BII)Ljava/nio/ByteBuffer;", BUFFER),
            Map.entry("java/io/InputStream.read([B)I", "java/io/InputStream"),
            Map.entry("java/io/InputStream.read([BII)I", "java/io/InputStream"),
            Map.entry("java/io/OutputStream.write([B)V", "java/io/OutputStream"),
            Map.entry("java/io/OutputStream.write([BII)V", "java/io/OutputStream"),
            Map.entry(CHANNEL + ".read(Ljava/nio/ByteBuffer;)I", CHANNEL),
            Map.entry(CHANNEL + ".write(Ljava/nio/ByteBuffer;)I", CHANNEL),
            Map.entry(CHANNEL + ".write([Ljava/nio/ByteBuffer;)J", CHANNEL));

    CopyAgent() {}

    /** Called by the JVM before the program's main method. */
    public static void premain(String arguments, Instrumentation instrumentation) {
        instrumentation.addTransformer(new CopyAgent());
    }

    @Override
    public byte[] transform(ClassLoader loader, String name, Class<?> redefined, ProtectionDomain domain, byte[] code) {
        boolean counted = name != null
                && !name.startsWith("olivechute/benchmark/")
                && (name.startsWith("olivechute/") || name.startsWith("com/fasterxml/jackson/core/"));
        if (!counted) {
            return null;
        }
        ClassReader reader = new ClassReader(code);
        ClassWriter writer = new ClassWriter(reader, 0);
        reader.accept(
                new ClassVisitor(Opcodes.ASM9, writer) {
                    @Override
                    public MethodVisitor visitMethod(
                            int access, String method, String type, String generic, String[] thrown) {
                        return new CallRewriter(super.visitMethod(access, method, type, generic, thrown));
                    }
                },
                0);
        return writer.toByteArray();
    }

    private static final class CallRewriter extends MethodVisitor {
        CallRewriter(MethodVisitor next) {
            super(Opcodes.ASM9, next);
        }

        @Override
        public void visitMethodInsn(int opcode, String owner, String name, String type, boolean onInterface) {
            String receiver = CALLS.get(owner + "." + name + type);
            if (owner.equals("[B") && name.equals("clone")) {
                super.visitMethodInsn(
                        Opcodes.INVOKESTATIC, COUNTER, "copy", "(Ljava/lang/Object;)Ljava/lang/Object;", false);
            } else if (receiver == null || opcode == Opcodes.INVOKESPECIAL) {
                super.visitMethodInsn(opcode, owner, name, type, onInterface);
            } else {
                String first = receiver.isEmpty() ? "(" : "(L" + receiver + ";";
                super.visitMethodInsn(Opcodes.INVOKESTATIC, COUNTER, name, first + type.substring(1), false);
            }
        }

        @Override
        public void visitInsn(int opcode) {
            if (opcode == Opcodes.BASTORE) {
                super.visitMethodInsn(Opcodes.INVOKESTATIC, COUNTER, "store", "(Ljava/lang/Object;II)V", false);
            } else {
                super.visitInsn(opcode);
            }
        }
    }
}
