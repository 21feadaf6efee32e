package switchgap.net;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Frames out of a stream of bytes: four bytes of length, then so many. A length out of bounds is never gathered. */
public final class FrameDecoder {
    private static final int HEAD = 4;
    private static final int FIRST = 512; // gathered as bytes come, not as a length claims
    private final int most;
    private final byte[] head = new byte[HEAD];
    private int headed;
    private byte[] frame;
    private int size;
    private int got;

    public FrameDecoder(int most) { this.most = most; }

    /** Whether a part of a frame waits for its rest. */
    public boolean hasPartialFrame() {
        return headed > 0;
    }

    /** Takes bytes; each whole frame is handed on. False, for good, at a length out of bounds. */
    public boolean decode(ByteBuffer more, Consumer<byte[]> whole) {
        while (more.hasRemaining()) {
            if (headed < HEAD) {
                head[headed++] = more.get();
                if (headed < HEAD) { continue; }
                size = ByteBuffer.wrap(head).getInt();
                if (size <= 0 || size > most) { return false; }
                frame = new byte[Math.min(size, Math.max(FIRST, more.remaining()))];
                got = 0;
            }
            int n = Math.min(more.remaining(), size - got);
            if (got + n > frame.length) {
                frame = java.util.Arrays.copyOf(frame, Math.min(size, Math.max(got + n, 2 * frame.length)));
            }
            more.get(frame, got, n);
            got += n;
            if (got == size) {
                byte[] f = frame;
                frame = null;
                headed = 0;
                whole.accept(f);
            }
        }
        return true;
    }

    /** The length that was refused, for a message. */
    public int frameLength() { return size; }
}
