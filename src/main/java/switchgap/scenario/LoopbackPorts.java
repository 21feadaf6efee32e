package switchgap.scenario;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Loopback ports for programs that a rig starts. */
public final class LoopbackPorts {
    private static final long MOST_WAIT = 15_000_000_000L;

    private LoopbackPorts() {}

    /** So many free ports, held together until all are known: asked for one by one they may all be the same. */
    public static int[] free(int n) throws IOException {
        List<ServerSocket> open = new ArrayList<>();
        try {
            for (int i = 0; i < n; i++) { open.add(new ServerSocket(0)); }
            return open.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        } finally {
            for (ServerSocket o : open) { o.close(); }
        }
    }

    /** Waits until somebody listens there. */
    public static void await(int port) throws IOException {
        for (long end = System.nanoTime() + MOST_WAIT;;) {
            try (Socket s = new Socket("127.0.0.1", port)) {
                return;
            } catch (IOException e) {
                if (System.nanoTime() > end) { throw new IOException("nothing listens at " + port, e); }
                try {
                    Thread.sleep(20);
                } catch (InterruptedException x) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
