package switchgap.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads frames, shares their records out to the instances, and writes one reply a frame. */
public final class SimulatorHost {
    static final int RECORD = 56;
    static final int ENTRY = 25;
    private static final int HEADER = 20;
    private static final int BORN = 1;
    private static final int KILL = 5;
    private static final int UPDATE = 6;
    private static final int DEFINE_LIST = 9;
    private static final int LAST_CODE = 12;
    private static final int FAILED_LIST = 1;
    private final Map<Integer, SimulatedRouter> instances = new TreeMap<>();
    private final Map<Integer, byte[]> lists = new TreeMap<>();
    private final ReplyFrame reply = new ReplyFrame();

    public void serve(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[HEADER];
        while (true) {
            int got = in.readNBytes(header, 0, HEADER);
            if (got == 0) {
                return;
            }
            if (got < HEADER) {
                throw new MalformedFrameException("header ends at byte " + got + " of " + HEADER);
            }
            ByteBuffer h = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            int number = h.getInt(0);
            long count = Integer.toUnsignedLong(h.getInt(4));
            long length = Integer.toUnsignedLong(h.getInt(8));
            if (length < HEADER + count * RECORD || length > Integer.MAX_VALUE) {
                throw new MalformedFrameException(
                    "length " + length + " at byte 8 does not fit " + count + " records");
            }
            byte[] body = in.readNBytes((int) length - HEADER);
            if (body.length < length - HEADER) {
                throw new MalformedFrameException(
                    "frame " + number + " ends at byte " + (HEADER + body.length) + " of " + length);
            }
            reply.begin(number);
            round(ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN), (int) count, h.getLong(12));
            out.write(reply.finish());
            out.flush();
        }
    }

    private void round(ByteBuffer body, int count, long clock) throws MalformedFrameException {
        int tail = count * RECORD;
        Map<Integer, SimulatedRouter> touched = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            int at = i * RECORD;
            int code = body.get(at) & 0xff;
            if (code == DEFINE_LIST) {
                lists.put(body.getInt(at + 1), part(body, tail, at + 5, ENTRY, i));
                continue;
            }
            if (code < 1 || code > LAST_CODE) {
                throw new MalformedFrameException(
                    "unknown event code " + code + " in record " + i + " at byte " + (HEADER + at));
            }
            int who = body.getShort(at + 1) & 0xffff;
            if (code == KILL) {
                instances.remove(who);
                touched.remove(who);
            } else if (code == BORN) {
                String info = new String(part(body, tail, at + 11, 1, i), StandardCharsets.UTF_8);
                SimulatedRouter born = new SimulatedRouter(who, clock, body.getLong(at + 3), info, reply);
                instances.put(who, born);
                touched.put(who, born);
            } else {
                SimulatedRouter to = instances.get(who);
                if (to == null) {
                    throw new MalformedFrameException(
                        "record " + i + " is for instance " + who + ", which is not alive");
                }
                byte[] list = null;
                if (code == UPDATE && body.get(at + 11) != FAILED_LIST) {
                    list = lists.get(body.getInt(at + 3));
                    if (list == null) {
                        throw new MalformedFrameException(
                            "record " + i + " names list " + body.getInt(at + 3) + ", never defined");
                    }
                }
                to.take(at, list);
                touched.put(who, to);
            }
        }
        for (SimulatedRouter each : touched.values()) {
            each.round(body, clock);
        }
    }

    private static byte[] part(ByteBuffer body, int tail, int at, int unit, int record)
        throws MalformedFrameException {
        long from = tail + Integer.toUnsignedLong(body.getInt(at));
        long size = Integer.toUnsignedLong(body.getInt(at + 4)) * unit;
        if (from + size > body.capacity()) {
            throw new MalformedFrameException(
                "offset at byte " + (HEADER + at) + " of record " + record + " is outside the tail");
        }
        byte[] part = new byte[(int) size];
        body.get((int) from, part);
        return part;
    }
}
