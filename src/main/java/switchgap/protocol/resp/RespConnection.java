package switchgap.protocol.resp;

import java.util.HashMap;
import java.util.Map;
import switchgap.net.TcpConnection;

/** One connection to a worker with what is out on it. Its reader belongs to a selector thread, the rest to the loop. */
final class RespConnection {
    final TcpConnection bytes;
    final RespConnectionPool pool;
    final RespDecoder reader;
    final Map<String, PendingExchange> out = new HashMap<>();
    /** An answer stayed out, and it has said nothing since. */
    boolean mute;
    /** Nanoseconds of the loop at which it was last of use, and last said something. */
    long used;
    long heard;

    RespConnection(TcpConnection bytes, RespConnectionPool pool, RespDecoder reader, long now) {
        this.bytes = bytes;
        this.pool = pool;
        this.reader = reader;
        used = now;
        heard = now;
    }
}
