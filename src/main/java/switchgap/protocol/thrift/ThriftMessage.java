package switchgap.protocol.thrift;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * One message as it came: its method, number, and of its arguments the map of fields, the body and the first number.
 * Every length is checked against what is there before anything is made of it.
 */
public record ThriftMessage(int type, String method, int number, Map<String, String> fields, byte[] body,
    int first) {
    static final int CALL = 1;
    static final int REPLY = 2;
    static final int EXCEPTION = 3;
    static final int ONEWAY = 4;
    static final int STRICT = 0x80010000;
    static final byte STOP = 0;
    static final byte BOOL = 2;
    static final byte I32 = 8;
    static final byte STRING = 11;
    static final byte STRUCT = 12;
    static final byte MAP = 13;
    private static final int MOST_FIELDS = 64;   // of a map, and of a struct
    private static final int MOST_NAME = 64;     // bytes of a method's or a field's name
    private static final int MOST_VALUE = 1024;  // bytes of a field's value
    private static final int MOST_DEPTH = 8;

    /** What can't be read; {@code number} and {@code method} where the head still could. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1;
        final transient String method;
        final int number;

        MalformedMessageException(String why, String method, int number) {
            super(why, null, false, false); // no trace: such messages come at full speed
            this.method = method;
            this.number = number;
        }
    }

    private static final class ParseException extends RuntimeException {
        private static final long serialVersionUID = 1;

        ParseException(String why) { super(why, null, false, false); }
    }

    static ThriftMessage read(byte[] frame) throws MalformedMessageException {
        ByteBuffer b = ByteBuffer.wrap(frame);
        String method = null;
        int number = 0;
        try {
            int head = b.getInt();
            if ((head & 0xffffff00) != STRICT) { throw new ParseException("no strict binary message"); }
            int type = head & 0xff;
            if (type < CALL || type > ONEWAY) { throw new ParseException("message type " + type); }
            String name = text(b, MOST_NAME);
            number = b.getInt();
            method = name;
            Map<String, String> fields = null;
            byte[] body = null;
            int first = 0;
            int seen = 0;
            for (byte t = b.get(); t != STOP; t = b.get()) {
                if (++seen > MOST_FIELDS) { throw new ParseException("too many arguments"); }
                int id = b.getShort();
                if (id == 1 && t == MAP && fields == null) {
                    fields = map(b);
                } else if (id == 2 && t == STRING && body == null) {
                    body = new byte[length(b, frame.length)];
                    b.get(body);
                } else if (id == 1 && t == I32) {
                    first = b.getInt();
                } else {
                    skip(b, t, 0);
                }
            }
            if (b.hasRemaining()) { throw new ParseException(b.remaining() + " bytes behind the message"); }
            return new ThriftMessage(type, name, number, fields, body, first);
        } catch (ParseException x) {
            throw new MalformedMessageException(x.getMessage(), method, number);
        } catch (BufferUnderflowException x) {
            throw new MalformedMessageException("ends too soon", method, number);
        }
    }

    private static int length(ByteBuffer b, int most) {
        int n = b.getInt();
        if (n < 0 || n > most || n > b.remaining()) {
            throw new ParseException("a length of " + n + " with " + b.remaining() + " bytes left");
        }
        return n;
    }

    private static String text(ByteBuffer b, int most) {
        int n = length(b, most);
        String s = new String(b.array(), b.position(), n, StandardCharsets.UTF_8);
        b.position(b.position() + n);
        return s;
    }

    private static Map<String, String> map(ByteBuffer b) {
        byte k = b.get();
        byte v = b.get();
        int n = b.getInt();
        if (n < 0 || n > MOST_FIELDS) { throw new ParseException("a map of " + n); }
        if (n > 0 && (k != STRING || v != STRING)) {
            throw new ParseException("a map of types " + k + ", " + v);
        }
        Map<String, String> m = new HashMap<>(2 * n);
        for (int i = 0; i < n; i++) {
            if (m.put(text(b, MOST_NAME), text(b, MOST_VALUE)) != null) {
                throw new ParseException("a field twice");
            }
        }
        return m;
    }

    private static void skip(ByteBuffer b, byte type, int depth) {
        if (depth > MOST_DEPTH) { throw new ParseException("nested too deep"); }
        switch (type) {
            case BOOL, 3 -> pass(b, 1);
            case 6 -> pass(b, 2);
            case I32 -> pass(b, 4);
            case 4, 10 -> pass(b, 8);
            case STRING -> pass(b, length(b, b.capacity()));
            case STRUCT -> {
                for (byte t = b.get(); t != STOP; t = b.get()) {
                    pass(b, 2);
                    skip(b, t, depth + 1);
                }
            }
            case MAP -> {
                byte k = b.get();
                byte v = b.get();
                int n = b.getInt();
                for (int i = count(b, n); i > 0; i--) {
                    skip(b, k, depth + 1);
                    skip(b, v, depth + 1);
                }
            }
            case 14, 15 -> {
                byte e = b.get();
                int n = b.getInt();
                for (int i = count(b, n); i > 0; i--) { skip(b, e, depth + 1); }
            }
            default -> throw new ParseException("type " + type);
        }
    }

    /** Every element takes a byte at the least. */
    private static int count(ByteBuffer b, int n) {
        if (n < 0 || n > b.remaining()) { throw new ParseException("a count of " + n); }
        return n;
    }

    private static void pass(ByteBuffer b, int n) {
        if (n > b.remaining()) { throw new BufferUnderflowException(); }
        b.position(b.position() + n);
    }
}
