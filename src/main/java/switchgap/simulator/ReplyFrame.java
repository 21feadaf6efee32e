package switchgap.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One reply frame in the making: records of 24 bytes, then the tail. */
final class ReplyFrame {
    static final int RECORD = 24;
    private static final int HEADER = 12;
    private byte[] bytes = new byte[1 << 14];
    private ByteBuffer records = wrap();
    private byte[] tail = new byte[256];
    private int tailed;
    private int count;

    private ByteBuffer wrap() {
        return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    void begin(int number) {
        count = 0;
        tailed = 0;
        records.putInt(0, number);
    }

    /** A cleared record with its code and instance; the fields go to the place returned plus 3. */
    int record(int code, int who) {
        int at = HEADER + RECORD * count++;
        if (at + RECORD > bytes.length) {
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
            records = wrap();
        }
        Arrays.fill(bytes, at, at + RECORD, (byte) 0);
        bytes[at] = (byte) code;
        records.putShort(at + 1, (short) who);
        return at;
    }

    ByteBuffer fields() {
        return records;
    }

    void text(int at, String text) {
        byte[] t = text.getBytes(StandardCharsets.UTF_8);
        if (tailed + t.length > tail.length) {
            tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailed + t.length));
        }
        System.arraycopy(t, 0, tail, tailed, t.length);
        records.putInt(at, tailed);
        records.putInt(at + 4, t.length);
        tailed += t.length;
    }

    byte[] finish() {
        int end = HEADER + RECORD * count;
        records.putInt(4, count);
        records.putInt(8, end + tailed);
        byte[] all = Arrays.copyOf(bytes, end + tailed);
        System.arraycopy(tail, 0, all, end, tailed);
        return all;
    }
}
