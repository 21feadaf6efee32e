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
import switchgap.planner.PlannerMessage;

/**
 * The edge's end: accepts one planner at a time, after a handshake. A client that speaks another
 * version, is not a planner, is for another router, or connects while a planner is connected, is
 * rejected with the reason. Requests to the router are not affected. Thread-safe.
 */
public final class PlannerServer implements AutoCloseable {
  /** Notified of the planner, on selector threads; of its end also on the thread that closes it. */
  public interface Listener {
    /** A planner is connected; its plans must name this epoch. */
    void plannerConnected(long epoch);

    /** The planner of this epoch is gone. */
    void plannerDisconnected(long epoch);

    /** The planner sent a plan. */
    void planReceived(LoadPlan plan);
  }

  private static final Logger LOG = LoggerFactory.getLogger(PlannerServer.class);

  /** A planner is disconnected after this time without a message, a client without a handshake. */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long SILENCE_CHECK_INTERVAL_MILLIS = 250;

  /** Time for a rejection to reach the client before the connection is closed. */
  private static final long REJECTION_LINGER_MILLIS = 100;

  private static final long EPOCHS_PER_MILLISECOND = 1000;

  private final int routerIndex;
  private final Listener listener;
  private final AtomicReference<PlannerSession> session = new AtomicReference<>();
  private final TcpServer server;
  private final ScheduledFuture<?> silenceCheck;

  /** Guarded by this. Begins past the epochs of any process before this one. */
  private long lastEpoch = WallClock.unixMillis() * EPOCHS_PER_MILLISECOND;

  /**
   * Listens for the planner of the router with this index; port 0 takes any.
   *
   * @throws IOException if the port can't be listened on
   */
  public PlannerServer(
      NetworkTransport net, String host, int port, int routerIndex, Listener listener)
      throws IOException {
    this.routerIndex = routerIndex;
    this.listener = listener;
    this.server =
        FramedConnection.listen(
            net, host, port, PlannerMessageCodec.MAX_FRAME_BYTES, new MessageListener());
    this.silenceCheck =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::closeIfSilent,
            SILENCE_CHECK_INTERVAL_MILLIS,
            SILENCE_CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** The port that is listened on. */
  public int port() {
    return server.port();
  }

  /**
   * Sends a backlog to the planner.
   *
   * @return false if no planner of its epoch is connected, or too many messages to it are unsent;
   *     the next backlog makes up for it
   */
  public boolean send(LoadBacklog backlog) {
    PlannerSession current = session.get();
    return current != null
        && current.epoch() == backlog.epoch()
        && current.connection().send(PlannerMessageCodec.encode(backlog));
  }

  private void closeIfSilent() {
    PlannerSession current = session.get();
    if (current != null && current.isSilent(SILENCE_TIMEOUT_NANOS)) {
      current.connection().close(LinkCloseReason.PLANNER_SILENT);
    }
  }

  /** The session of this connection, or null if its handshake is not complete. */
  private PlannerSession sessionOf(FramedConnection connection) {
    PlannerSession current = session.get();
    return current != null && current.connection() == connection ? current : null;
  }

  private final class MessageListener implements FramedConnection.Listener {
    /** Guards against clients that connect and send nothing. */
    @Override
    public void opened(FramedConnection connection) {
      TimerThread.EXECUTOR.schedule(
          () -> {
            if (sessionOf(connection) == null) {
              connection.close(LinkCloseReason.HANDSHAKE_TIMEOUT);
            }
          },
          SILENCE_TIMEOUT_NANOS,
          TimeUnit.NANOSECONDS);
    }

    @Override
    public void frame(FramedConnection from, byte[] bytes) {
      PlannerMessage message;
      try {
        message = PlannerMessageCodec.decode(bytes);
      } catch (IOException e) {
        reject(from, "unreadable: " + e.getMessage().lines().findFirst().orElse(""));
        return;
      }
      PlannerSession current = sessionOf(from);
      if (current != null) {
        received(current, message);
      } else if (message instanceof PlannerMessage.Hello hello) {
        handshake(from, hello);
      } else {
        reject(from, "a message before the handshake");
      }
    }

    private void received(PlannerSession from, PlannerMessage message) {
      from.messageReceived();
      if (message instanceof LoadPlan plan) {
        listener.planReceived(plan);
      } else if (!(message instanceof PlannerMessage.Heartbeat)) {
        reject(from.connection(), "no message for an edge");
      }
    }

    @Override
    public void closed(FramedConnection from, CloseCause cause) {
      PlannerSession ended = sessionOf(from);
      if (ended != null && session.compareAndSet(ended, null)) {
        LOG.warn(
            "router {}: planner gone: {}; load commands go out as they come", routerIndex, cause);
        listener.plannerDisconnected(ended.epoch());
      }
    }
  }

  private synchronized void handshake(FramedConnection client, PlannerMessage.Hello hello) {
    String mismatch = mismatch(hello);
    if (mismatch != null) {
      reject(client, mismatch);
      return;
    }
    lastEpoch++;
    PlannerSession newSession = new PlannerSession(client, lastEpoch);
    if (!session.compareAndSet(null, newSession)) {
      reject(client, "a planner is linked already");
      return;
    }
    client.send(
        PlannerMessageCodec.encode(
            new PlannerMessage.Hello(
                PlannerMessageCodec.VERSION,
                PlannerMessageCodec.ROUTER_SIDE,
                routerIndex,
                newSession.epoch())));
    LOG.info("router {}: planner linked, epoch {}", routerIndex, newSession.epoch());
    listener.plannerConnected(newSession.epoch());
  }

  /** Why a client with this handshake can't be this edge's planner, or null. */
  private String mismatch(PlannerMessage.Hello hello) {
    if (hello.version() != PlannerMessageCodec.VERSION) {
      return "version " + hello.version() + ", this edge speaks " + PlannerMessageCodec.VERSION;
    }
    if (!hello.side().equals(PlannerMessageCodec.PLANNER_SIDE)) {
      return "a " + hello.side() + ", no planner";
    }
    if (hello.router() != routerIndex) {
      return "a planner for router " + hello.router() + ", this is " + routerIndex;
    }
    return null;
  }

  private void reject(FramedConnection client, String why) {
    LOG.warn("router {}: planner rejected: {}", routerIndex, why);
    client.send(PlannerMessageCodec.encode(new PlannerMessage.Rejected(why)));
    TimerThread.EXECUTOR.schedule(
        () -> client.close(new CloseCause(LinkCloseReason.REJECTED, why)),
        REJECTION_LINGER_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Closes the connection to the planner, and the port. */
  @Override
  public void close() {
    silenceCheck.cancel(false);
    server.close();
    PlannerSession current = session.get();
    if (current != null) {
      current.connection().close(LinkCloseReason.ROUTER_STOPPED);
    }
  }
}
