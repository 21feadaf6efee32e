package switchgap.server.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A scripted control feed on a plain socket. */
public final class ControlFeedServer implements AutoCloseable {
    /** Tells on the n-th connection, from 0; false closes it. */
    public interface Behaviour {
        boolean tell(int n, long last, OutputStream out) throws IOException;
    }

    public final List<Long> asked = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;

    public ControlFeedServer(Behaviour manner) throws IOException { this(0, manner); }

    public ControlFeedServer(int port, Behaviour manner) throws IOException {
        listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        Thread t = new Thread(() -> {
            try {
                for (int n = 0;; n++) { serve(listener.accept(), n, manner); }
            } catch (IOException x) {
                return; // closed
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket s, int n, Behaviour manner) throws IOException {
        open.add(s);
        try {
            BufferedReader in = new BufferedReader(
                new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            long last = -1;
            for (String l = in.readLine(); l != null && !l.isEmpty(); l = in.readLine()) {
                if (l.toLowerCase(java.util.Locale.ROOT).startsWith("last-event-id:")) {
                    last = Long.parseLong(l.substring(14).trim());
                }
            }
            asked.add(last);
            OutputStream out = s.getOutputStream();
            out.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n".getBytes(
                    StandardCharsets.US_ASCII));
            if (!manner.tell(n, last, out)) { s.close(); }
        } catch (IOException x) {
            s.close(); // the follower left
        }
    }

    public static void say(OutputStream out, String event) throws IOException {
        out.write(("id: 0\ndata: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** To the connection opened last. */
    public void say(String event) throws IOException {
        say(open.get(open.size() - 1).getOutputStream(), event);
    }

    /** Whether the follower has closed the n-th connection; waits for that. */
    public boolean ended(int n) throws IOException {
        open.get(n).setSoTimeout(5000);
        return open.get(n).getInputStream().read() < 0;
    }

    public static String event(long n, boolean all, String... workers) {
        return "{\"n\":" + n + ",\"members\":{\"rev\":7,\"all\":" + all + ",\"targets\":["
            + String.join(",", workers) + "]}}";
    }

    public static String worker(String id, String at, String state, long boot) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"" + at
            + "\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":2,\"state\":\"" + state
            + "\",\"capacity_hint\":4,\"boot_ms\":" + boot + "}";
    }

    public InetSocketAddress at() { return (InetSocketAddress) listener.getLocalSocketAddress(); }

    @Override public void close() throws IOException {
        listener.close();
        for (Socket s : open) { s.close(); }
    }
}
