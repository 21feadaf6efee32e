package switchgap.protocol.resp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Arrays of bulk strings out of a stream of bytes, split anywhere. Each length is checked before it is gathered, and
 * bytes are kept as they come, not as a length claims.
 */
final class RespDecoder {
    /** What is no such array, or is longer than allowed. */
    static final class MalformedReplyException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedReplyException(String why) { super(why, null, false, false); }
    }

    /** Takes an array; it may find that what it says can't be read. */
    interface ArrayHandler {
        void array(byte[][] parts) throws MalformedReplyException;
    }

    private static final int MOST_PARTS = 8;
    private static final int MOST_DIGITS = 8;
    private static final int FIRST = 256;
    private final int most;
    private byte[][] parts;     // of the array under way, null between two
    private int filled;
    private byte[] part;        // of the string under way, null while a line is read
    private int size;
    private int got;            // bytes of the string, then its end of line
    private int sign;           // of the line under way: '*', '$', or 0 before it
    private int number;
    private int digits;
    private boolean returned;   // the line's carriage return came

    /** No string may be longer than {@code most} bytes. */
    RespDecoder(int most) { this.most = most; }

    void take(ByteBuffer more, ArrayHandler whole) throws MalformedReplyException {
        while (more.hasRemaining()) {
            if (part != null) {
                string(more, whole);
            } else {
                line(more.get(), whole);
            }
        }
    }

    private void line(byte b, ArrayHandler whole) throws MalformedReplyException {
        if (sign == 0) {
            if (b != (parts == null ? '*' : '$')) {
                throw new MalformedReplyException("byte " + b + " where an array or a string begins");
            }
            sign = b;
            number = 0;
            digits = 0;
        } else if (returned) {
            if (b != '\n') { throw new MalformedReplyException("a line that does not end"); }
            returned = false;
            begin(whole);
        } else if (b == '\r' && digits > 0) {
            returned = true;
        } else if (b >= '0' && b <= '9' && digits < MOST_DIGITS) {
            number = number * 10 + b - '0';
            digits++;
        } else {
            throw new MalformedReplyException("no length");
        }
    }

    private void begin(ArrayHandler whole) throws MalformedReplyException {
        if (sign == '*') {
            if (number == 0 || number > MOST_PARTS) {
                throw new MalformedReplyException("an array of " + number);
            }
            parts = new byte[number][];
            filled = 0;
        } else {
            if (number > most) { throw new MalformedReplyException("a string of " + number + " bytes"); }
            size = number;
            got = 0;
            part = new byte[Math.min(size, FIRST)];
        }
        sign = 0;
    }

    private void string(ByteBuffer more, ArrayHandler whole) throws MalformedReplyException {
        if (got < size) {
            int n = Math.min(more.remaining(), size - got);
            if (got + n > part.length) {
                part = Arrays.copyOf(part, Math.min(size, Math.max(got + n, 2 * part.length)));
            }
            more.get(part, got, n);
            got += n;
            return;
        }
        if (more.get() != (got == size ? '\r' : '\n')) {
            throw new MalformedReplyException("a string longer than its length");
        }
        if (got++ == size) { return; }
        parts[filled++] = part;
        part = null;
        if (filled == parts.length) {
            byte[][] all = parts;
            parts = null;
            whole.array(all);
        }
    }
}
