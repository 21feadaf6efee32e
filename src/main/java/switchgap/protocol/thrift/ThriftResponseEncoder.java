package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Messages that answer, each a whole frame with its length before it. */
final class ThriftResponseEncoder {
    private static final byte[] NOTHING = {};
    private static final int UNKNOWN_METHOD = 1;
    private static final int PROTOCOL_ERROR = 7;

    private ThriftResponseEncoder() {}

    /** {@code Response}: the result's field 0. */
    static byte[] answer(String method, int number, byte[] body, boolean good) {
        ByteBuffer b = begin(ThriftMessage.REPLY, method, number, 40 + body.length);
        field(b, ThriftMessage.STRUCT, 0);
        field(b, ThriftMessage.STRING, 1);
        b.putInt(body.length).put(body);
        fields(b, 2, Map.of());
        field(b, ThriftMessage.BOOL, 3);
        b.put((byte) (good ? 1 : 0));
        return end(b.put(ThriftMessage.STOP).put(ThriftMessage.STOP));
    }

    static byte[] heartbeat(String method, int number, boolean good) {
        return answer(method, number, NOTHING, good);
    }

    /** One of the two declared exceptions: 1 {@code Full}, 2 {@code Error}. */
    static byte[] declared(String method, int number, int which, Map<String, String> fields) {
        int size = 32;
        for (Map.Entry<String, String> e : fields.entrySet()) {
            size += 8 + 3 * (e.getKey().length() + e.getValue().length());
        }
        ByteBuffer b = begin(ThriftMessage.REPLY, method, number, size);
        field(b, ThriftMessage.STRUCT, which);
        fields(b, 1, fields);
        return end(b.put(ThriftMessage.STOP).put(ThriftMessage.STOP));
    }

    /** An application exception. */
    static byte[] unknownMethod(String method, int number) {
        return exception(method, number, UNKNOWN_METHOD, "no such method");
    }

    static byte[] unreadable(String method, int number, String why) {
        return exception(method, number, PROTOCOL_ERROR, why);
    }

    private static byte[] exception(String method, int number, int type, String why) {
        byte[] text = why.getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = begin(ThriftMessage.EXCEPTION, method, number, 32 + text.length);
        field(b, ThriftMessage.STRING, 1);
        b.putInt(text.length).put(text);
        field(b, ThriftMessage.I32, 2);
        return end(b.putInt(type).put(ThriftMessage.STOP));
    }

    private static ByteBuffer begin(int type, String method, int number, int room) {
        byte[] name = method.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(16 + name.length + room).putInt(0).putInt(
            ThriftMessage.STRICT | type).putInt(name.length).put(name).putInt(number);
    }

    private static byte[] end(ByteBuffer b) {
        int size = b.position();
        b.putInt(0, size - 4);
        return size == b.capacity() ? b.array() : java.util.Arrays.copyOf(b.array(), size);
    }

    private static void field(ByteBuffer b, byte type, int id) { b.put(type).putShort((short) id); }

    private static void fields(ByteBuffer b, int id, Map<String, String> fields) {
        field(b, ThriftMessage.MAP, id);
        b.put(ThriftMessage.STRING).put(ThriftMessage.STRING).putInt(fields.size());
        fields.forEach((k, v) -> {
            text(b, k);
            text(b, v);
        });
    }

    private static void text(ByteBuffer b, String s) {
        byte[] t = s.getBytes(StandardCharsets.UTF_8);
        b.putInt(t.length).put(t);
    }
}
