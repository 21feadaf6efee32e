package switchgap.planner.link;

import java.io.IOException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.CloseCause;
import switchgap.net.FramedConnection;
import switchgap.net.NetworkTransport;
import switchgap.net.TcpServer;
import switchgap.net.TimerThread;
import switchgap.net.WallClock;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;

/**
 * The edge's end: accepts one planner at a time, after a handshake. A client that speaks another
 * version, is no planner, is for another router, or connects while a planner is connected, is
 * refused with the reason. Requests to the router are not affected. Thread-safe.
 */
public final class PlannerServer implements AutoCloseable {
  /** Notified of the planner, on selector threads. */
  public interface Listener {
    /** A planner is connected; its plans must name this epoch. */
    void plannerConnected(long epoch);

    /** The planner of this epoch is gone. */
    void plannerDisconnected(long epoch);

    /** The planner sent a plan. */
    void planReceived(LoadPlan plan);
  }

  private static final Logger LOG = LoggerFactory.getLogger(PlannerServer.class);

  /** Without a message for so long a planner is disconnected, without a handshake any client. */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long SILENCE_CHECK_MILLIS = 250;

  /** Time for a refusal to reach the client before the connection is closed. */
  private static final long REFUSAL_LINGER_MILLIS = 100;

  private static final long EPOCHS_PER_MILLISECOND = 1000;

  /** A planner's connection after the handshake. */
  private static final class Session {
    private final FramedConnection connection;
    private final long epoch;
    private volatile long heardAtNanos = System.nanoTime();

    Session(FramedConnection connection, long epoch) {
      this.connection = connection;
      this.epoch = epoch;
    }

    boolean isSilent() {
      return System.nanoTime() - heardAtNanos > SILENCE_TIMEOUT_NANOS;
    }
  }

  private final int router;
  private final Listener listener;
  private final AtomicReference<Session> session = new AtomicReference<>();
  private final TcpServer server;
  private final ScheduledFuture<?> silenceCheck;

  /** Guarded by this. Begins past the epochs of any process before this one. */
  private long lastEpoch = WallClock.unixMillis() * EPOCHS_PER_MILLISECOND;

  /**
   * Listens for the planner of the router with this index; port 0 takes any.
   *
   * @throws IOException where the port can't be listened at
   */
  public PlannerServer(NetworkTransport net, String host, int port, int router, Listener listener)
      throws IOException {
    this.router = router;
    this.listener = listener;
    this.server =
        FramedConnection.listen(
            net, host, port, PlannerMessageCodec.MAX_FRAME_BYTES, new MessageListener());
    this.silenceCheck =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::closeIfSilent, SILENCE_CHECK_MILLIS, SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** The port that is listened at. */
  public int port() {
    return server.port();
  }

  /**
   * Sends a backlog to the planner. False where none is connected in its epoch, or it does not keep
   * up; the next backlog makes up for it.
   */
  public boolean send(LoadBacklog backlog) {
    Session current = session.get();
    return current != null
        && current.epoch == backlog.epoch()
        && current.connection.send(PlannerMessageCodec.encode(backlog));
  }

  private void closeIfSilent() {
    Session current = session.get();
    if (current != null && current.isSilent()) {
      current.connection.close(LinkCloseReason.PLANNER_SILENT);
    }
  }

  /** The session of this connection, or null where it had no handshake. */
  private Session sessionOf(FramedConnection connection) {
    Session current = session.get();
    return current != null && current.connection == connection ? current : null;
  }

  private final class MessageListener implements FramedConnection.Listener {
    /** Guards against clients that connect and send nothing. */
    @Override
    public void opened(FramedConnection opened) {
      TimerThread.EXECUTOR.schedule(
          () -> {
            if (sessionOf(opened) == null) {
              opened.close(LinkCloseReason.HANDSHAKE_TIMEOUT);
            }
          },
          SILENCE_TIMEOUT_NANOS,
          TimeUnit.NANOSECONDS);
    }

    @Override
    public void frame(FramedConnection from, byte[] bytes) {
      Record message;
      try {
        message = PlannerMessageCodec.decode(bytes);
      } catch (IOException e) {
        refuse(from, "unreadable: " + e.getMessage().lines().findFirst().orElse(""));
        return;
      }
      Session current = sessionOf(from);
      if (current != null) {
        received(current, message);
      } else if (message instanceof PlannerMessageCodec.Hello hello) {
        greet(from, hello);
      } else {
        refuse(from, "a message before the handshake");
      }
    }

    private void received(Session from, Record message) {
      from.heardAtNanos = System.nanoTime();
      if (message instanceof LoadPlan plan) {
        listener.planReceived(plan);
      } else if (!(message instanceof PlannerMessageCodec.Heartbeat)) {
        refuse(from.connection, "no message for an edge");
      }
    }

    @Override
    public void closed(FramedConnection from, CloseCause cause) {
      Session ended = sessionOf(from);
      if (ended != null && session.compareAndSet(ended, null)) {
        LOG.warn("router {}: planner gone: {}; load commands go out as they come", router, cause);
        listener.plannerDisconnected(ended.epoch);
      }
    }
  }

  private synchronized void greet(FramedConnection client, PlannerMessageCodec.Hello hello) {
    String fault = fault(hello);
    if (fault != null) {
      refuse(client, fault);
      return;
    }
    lastEpoch++;
    Session opened = new Session(client, lastEpoch);
    if (!session.compareAndSet(null, opened)) {
      refuse(client, "a planner is linked already");
      return;
    }
    client.send(
        PlannerMessageCodec.encode(
            new PlannerMessageCodec.Hello(
                PlannerMessageCodec.VERSION, PlannerMessageCodec.EDGE_SIDE, router, opened.epoch)));
    LOG.info("router {}: planner linked, epoch {}", router, opened.epoch);
    listener.plannerConnected(opened.epoch);
  }

  /** Why a client with this handshake can't be this edge's planner, or null. */
  private String fault(PlannerMessageCodec.Hello hello) {
    if (hello.version() != PlannerMessageCodec.VERSION) {
      return "version " + hello.version() + ", this edge speaks " + PlannerMessageCodec.VERSION;
    }
    if (!hello.side().equals(PlannerMessageCodec.PLANNER_SIDE)) {
      return "a " + hello.side() + ", no planner";
    }
    if (hello.router() != router) {
      return "a planner for router " + hello.router() + ", this is " + router;
    }
    return null;
  }

  private void refuse(FramedConnection client, String why) {
    LOG.warn("router {}: planner refused: {}", router, why);
    client.send(PlannerMessageCodec.encode(new PlannerMessageCodec.Refused(why)));
    TimerThread.EXECUTOR.schedule(
        () -> client.close(new CloseCause(LinkCloseReason.REFUSED, why)),
        REFUSAL_LINGER_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Closes the connection to the planner, and the port. */
  @Override
  public void close() {
    silenceCheck.cancel(false);
    server.close();
    Session current = session.get();
    if (current != null) {
      current.connection.close(LinkCloseReason.EDGE_STOPPED);
    }
  }
}
