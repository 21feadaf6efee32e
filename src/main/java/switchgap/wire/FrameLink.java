package switchgap.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;

/** A connection of frames: four bytes of length, then so many bytes. Bounded both ways. */
public final class FrameLink {
    /** Hears of a link; on a selector thread. After closed nothing comes. */
    public interface Ear {
        void opened(FrameLink l);

        void frame(FrameLink l, byte[] bytes);

        void closed(FrameLink l, String why);
    }

    private static final int MOST_UNSENT = 64;
    private static final Duration OPENS_WITHIN = Duration.ofSeconds(10);
    private final ByteLink link;
    private final Frames frames;

    private FrameLink(ByteLink link, int most) {
        this.link = link;
        this.frames = new Frames(most);
    }

    /** Sends a frame; false, and nothing is sent, while too many are unsent: the next one must make up for it. */
    public boolean send(byte[] frame) {
        if (link.waiting() >= MOST_UNSENT) { return false; }
        byte[] all = new byte[4 + frame.length];
        ByteBuffer.wrap(all).putInt(frame.length).put(frame);
        return link.send(all);
    }

    public void close(String why) { link.close(why); }

    private static ByteLink.Ear ear(Ear ear, int most) {
        return new ByteLink.Ear() {
            @Override public void opened(ByteLink l) {
                FrameLink f = new FrameLink(l, most);
                l.holder = f;
                ear.opened(f);
            }

            @Override public void bytes(ByteLink l, ByteBuffer more) {
                FrameLink f = (FrameLink) l.holder;
                if (!f.frames.take(more, x -> {
                    if (l.open()) { ear.frame(f, x); }
                })) {
                    f.close("a frame of " + f.frames.size() + " bytes, at most " + most + " are taken");
                }
            }

            @Override public void closed(ByteLink l, String why) { ear.closed((FrameLink) l.holder, why); }
        };
    }

    /** Listens; port 0 takes any. */
    public static ByteLink.Door listen(Net net, String host, int port, int most, Ear ear) throws IOException {
        return ByteLink.listen(net, host, port, 16, ear(ear, most));
    }

    /** Opens links of one kind, again and again, through one filter chain. */
    public static final class Opener {
        private final ByteLink.Opener opener;

        public Opener(Net net, int most, Ear ear) { opener = new ByteLink.Opener(net, ear(ear, most)); }

        /** Opens one; {@code failed} runs where that can't be done. */
        public void open(InetSocketAddress to, Runnable failed) {
            opener.open(to, OPENS_WITHIN, new Dial.Opening<>() {
                @Override public void open(ByteLink l) { }

                @Override public void failed(String why) { failed.run(); }
            });
        }
    }
}
