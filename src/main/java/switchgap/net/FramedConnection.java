package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;

/** A connection of frames: four bytes of length, then so many bytes. Bounded both ways. */
public final class FramedConnection {
    /** Hears of a link; on a selector thread. After closed nothing comes. */
    public interface Listener {
        void opened(FramedConnection l);

        void frame(FramedConnection l, byte[] bytes);

        void closed(FramedConnection l, String why);
    }

    private static final int MOST_UNSENT = 64;
    private static final Duration OPENS_WITHIN = Duration.ofSeconds(10);
    private final TcpConnection link;
    private final FrameDecoder frames;

    private FramedConnection(TcpConnection link, int most) {
        this.link = link;
        this.frames = new FrameDecoder(most);
    }

    /** Sends a frame; false, and nothing is sent, while too many are unsent: the next one must make up for it. */
    public boolean send(byte[] frame) {
        if (link.unsentWrites() >= MOST_UNSENT) { return false; }
        byte[] all = new byte[4 + frame.length];
        ByteBuffer.wrap(all).putInt(frame.length).put(frame);
        return link.send(all);
    }

    public void close(String why) { link.close(why); }

    private static TcpConnection.Listener ear(Listener ear, int most) {
        return new TcpConnection.Listener() {
            @Override public void opened(TcpConnection l) {
                FramedConnection f = new FramedConnection(l, most);
                l.attachment = f;
                ear.opened(f);
            }

            @Override public void received(TcpConnection l, ByteBuffer more) {
                FramedConnection f = (FramedConnection) l.attachment;
                if (!f.frames.decode(more, x -> {
                    if (l.isOpen()) { ear.frame(f, x); }
                })) {
                    f.close(
                        "a frame of " + f.frames.frameLength() + " bytes, at most " + most + " are taken");
                }
            }

            @Override public void closed(TcpConnection l, String why) {
                ear.closed((FramedConnection) l.attachment, why);
            }
        };
    }

    /** Listens; port 0 takes any. */
    public static TcpConnection.Server listen(NetworkTransport net, String host, int port, int most,
        Listener ear) throws IOException {
        return TcpConnection.listen(net, host, port, 16, ear(ear, most));
    }

    /** Opens links of one kind, again and again, through one filter chain. */
    public static final class Factory {
        private final TcpConnection.Factory opener;

        public Factory(NetworkTransport net, int most, Listener ear) {
            opener = new TcpConnection.Factory(net, ear(ear, most));
        }

        /** Opens one; {@code failed} runs where that can't be done. */
        public void connect(InetSocketAddress to, Runnable failed) {
            opener.connect(to, OPENS_WITHIN, new Connector.ConnectCallback<>() {
                @Override public void connected(TcpConnection l) {}

                @Override public void failed(String why) { failed.run(); }
            });
        }
    }
}
