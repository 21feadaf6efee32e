package switchgap.resp;

import java.util.HashMap;
import java.util.Map;
import switchgap.net.TcpConnection;

/** One connection to a worker with what is out on it. Its reader belongs to a selector thread, the rest to the loop. */
final class Link {
    final TcpConnection bytes;
    final Pool pool;
    final Reader reader;
    final Map<String, Errand> out = new HashMap<>();
    /** An answer stayed out, and it has said nothing since. */
    boolean mute;
    /** Nanoseconds of the loop at which it was last of use, and last said something. */
    long used;
    long heard;

    Link(TcpConnection bytes, Pool pool, Reader reader, long now) {
        this.bytes = bytes;
        this.pool = pool;
        this.reader = reader;
        used = now;
        heard = now;
    }
}
