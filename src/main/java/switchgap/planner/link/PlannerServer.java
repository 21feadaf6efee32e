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
 * The router's side of the connection: accepts one planner at a time, after a handshake. A client
 * is rejected with the reason if its protocol version differs, if it is not a planner, if it is a
 * planner for another router, or if a planner is already connected. Rejected and failing planners
 * do not affect requests to the router. Thread-safe.
 */
public final class PlannerServer implements AutoCloseable {
  /**
   * Receives the events of the planner's connection. The methods run on selector threads; {@code
   * plannerDisconnected} runs on the thread that closes the connection.
   */
  public interface Listener {
    /** A planner has connected; its plans must contain this epoch. */
    void plannerConnected(long epoch);

    /** The planner of this epoch has disconnected. */
    void plannerDisconnected(long epoch);

    /** The planner sent a plan. */
    void planReceived(LoadPlan plan);
  }

  private static final Logger LOG = LoggerFactory.getLogger(PlannerServer.class);

  /**
   * Time without a message after which a planner is disconnected, and without a handshake after
   * which a new client is disconnected.
   */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long SILENCE_CHECK_INTERVAL_MILLIS = 250;

  /** Time between a rejection and the closing of the connection, so that the client receives it. */
  private static final long REJECTION_LINGER_MILLIS = 100;

  /**
   * Epochs reserved for each millisecond of the wall clock. Epochs of a later process are higher as
   * long as connections are accepted at a lower rate.
   */
  private static final long EPOCHS_PER_MILLISECOND = 1000;

  private final int routerIndex;
  private final Listener listener;

  /** The session of the connected planner; null if no planner is connected. */
  private final AtomicReference<PlannerSession> session = new AtomicReference<>();

  private final TcpServer server;
  private final ScheduledFuture<?> silenceCheck;

  /**
   * Epoch of the last connection; guarded by this object's monitor. It starts from the wall clock,
   * above the epochs of earlier processes of the router.
   */
  private long lastEpoch = WallClock.unixMillis() * EPOCHS_PER_MILLISECOND;

  /**
   * Listens for connections of the planner.
   *
   * @param port the port to listen on; 0 for any free port
   * @param routerIndex index of the router
   * @throws IOException if the server can't listen on the port
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

  /** The port on which the server listens. */
  public int port() {
    return server.port();
  }

  /**
   * Sends a backlog to the planner.
   *
   * @return false if the backlog was not sent, because no planner of its epoch is connected or too
   *     many messages to the planner are unsent; the next backlog replaces it
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
      current.connection().close(PlannerCloseReason.PLANNER_SILENT);
    }
  }

  /** The session of a connection, or null if its handshake is not complete. */
  private PlannerSession sessionOf(FramedConnection connection) {
    PlannerSession current = session.get();
    return current != null && current.connection() == connection ? current : null;
  }

  private final class MessageListener implements FramedConnection.Listener {
    /** Schedules a timeout of the handshake, because a client may connect and send nothing. */
    @Override
    public void opened(FramedConnection connection) {
      TimerThread.EXECUTOR.schedule(
          () -> {
            if (sessionOf(connection) == null) {
              connection.close(PlannerCloseReason.HANDSHAKE_TIMEOUT);
            }
          },
          SILENCE_TIMEOUT_NANOS,
          TimeUnit.NANOSECONDS);
    }

    @Override
    public void frameReceived(FramedConnection from, byte[] bytes) {
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
            "router {}: planner disconnected: {}; load commands are sent without a plan",
            routerIndex,
            cause);
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
    LOG.info("router {}: planner connected, epoch {}", routerIndex, newSession.epoch());
    listener.plannerConnected(newSession.epoch());
  }

  /** Why a client with this handshake can't be the router's planner; null if it can. */
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
        () -> client.close(new CloseCause(PlannerCloseReason.REJECTED, why)),
        REJECTION_LINGER_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Stops listening and closes the connection to the planner. */
  @Override
  public void close() {
    silenceCheck.cancel(false);
    server.close();
    PlannerSession current = session.get();
    if (current != null) {
      current.connection().close(PlannerCloseReason.ROUTER_STOPPED);
    }
  }
}
